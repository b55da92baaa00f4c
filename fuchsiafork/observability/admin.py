"""Admin HTTP of a process: health, readiness, metrics, events, status."""

import dataclasses
import json
import threading
import urllib.parse
from collections.abc import Callable, Iterable
from typing import Any

import prometheus_client
from cheroot import wsgi

from fuchsiafork.kernel import EventRing

THREADS = 2
EVENTS_PER_ANSWER = 1000

_JSON = 'application/json'
_TEXT = 'text/plain; charset=utf-8'
_LINES = {200: '200 OK', 404: '404 Not Found', 503: '503 Unavailable'}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """
    What the admin server reads from its process.

    :ivar ready: whether the platform's balancer may send work here.
    :ivar status: facts for operators, as a JSON object.
    """

    ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    events: EventRing
    registry: prometheus_client.CollectorRegistry


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One answer of the admin server."""

    status: int
    content_type: str
    body: bytes


class AdminServer:
    """Serves the probe of a process in threads of its own."""

    def __init__(self, host: str, port: int, probe: Probe) -> None:
        """Listen on an address; port 0 takes a free one."""
        self._probe = probe
        self._server = wsgi.Server((host, port), self._serve, THREADS)
        self._pages: dict[str, Callable[[dict[str, str]], Page]] = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/metrics': self._metrics,
            '/events': self._events,
            '/status': self._status,
        }

    @property
    def port(self) -> int:
        """The port listened on, once started."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen and serve in the background."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Close the socket."""
        self._server.stop()

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI wants it."""
        page = self._pages.get(environ['PATH_INFO'], _missing)
        pairs = urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))
        answer = page(dict(pairs))
        headers = [
            ('Content-Type', answer.content_type),
            ('Content-Length', str(len(answer.body))),
        ]
        start_response(_LINES[answer.status], headers)
        return [answer.body]

    def _health(self, query: dict[str, str]) -> Page:
        """Return that the process serves."""
        return Page(200, _TEXT, b'ok\n')

    def _readiness(self, query: dict[str, str]) -> Page:
        """Return whether the process takes new work."""
        if self._probe.ready():
            return Page(200, _TEXT, b'ready\n')
        return Page(503, _TEXT, b'not ready\n')

    def _metrics(self, query: dict[str, str]) -> Page:
        """Return the metrics in the Prometheus text format."""
        body = prometheus_client.generate_latest(self._probe.registry)
        return Page(200, prometheus_client.CONTENT_TYPE_LATEST, body)

    def _events(self, query: dict[str, str]) -> Page:
        """Return the events after the number that the query names."""
        given = query.get('since', '0')
        since = int(given) if given.isdecimal() else 0
        events = self._probe.events.since(since)[:EVENTS_PER_ANSWER]
        return _to_json([dataclasses.asdict(event) for event in events])

    def _status(self, query: dict[str, str]) -> Page:
        """Return facts for operators."""
        return _to_json(self._probe.status())


def _missing(query: dict[str, str]) -> Page:
    """Return that there is no such page."""
    return Page(404, _TEXT, b'no such page\n')


def _to_json(value: Any) -> Page:
    """Return a value as JSON."""
    return Page(200, _JSON, json.dumps(value, default=str).encode())
