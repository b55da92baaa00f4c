"""Admin HTTP server: health, readiness, metrics, events and status."""

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
MAX_EVENTS_PER_RESPONSE = 1000

_JSON = 'application/json'
_TEXT = 'text/plain; charset=utf-8'
_STATUS_LINES = {200: '200 OK', 404: '404 Not Found', 503: '503 Unavailable'}

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class AdminSources:
    """
    Process state that the admin server publishes.

    :ivar ready: returns whether the platform's load balancer may send
        requests to this process.
    :ivar status: returns status details for operators, as a JSON object.
    :ivar events: recent events of the process.
    :ivar registry: metrics of the process.
    """

    ready: Callable[[], bool]
    status: Callable[[], dict[str, Any]]
    events: EventRing
    registry: prometheus_client.CollectorRegistry


@dataclasses.dataclass(frozen=True, slots=True)
class AdminResponse:
    """One HTTP response of the admin server."""

    status: int
    content_type: str
    body: bytes


class AdminServer:
    """Publishes the state of a process, in threads of its own."""

    def __init__(self, host: str, port: int, sources: AdminSources) -> None:
        """Prepare to listen on an address; port 0 selects a free port."""
        self._sources = sources
        self._server = wsgi.Server((host, port), self._serve, THREADS)
        self._handlers: dict[str, Callable[[dict[str, str]], AdminResponse]] = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/metrics': self._metrics,
            '/events': self._events,
            '/status': self._status,
        }

    @property
    def port(self) -> int:
        """The listening port, once started."""
        return int(self._server.bind_addr[1])

    def start(self) -> None:
        """Listen and serve in a background thread."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def stop(self) -> None:
        """Stop serving and close the socket."""
        self._server.stop()

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Handle one request (WSGI application)."""
        handler = self._handlers.get(environ['PATH_INFO'], _not_found)
        pairs = urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))
        response = handler(dict(pairs))
        headers = [
            ('Content-Type', response.content_type),
            ('Content-Length', str(len(response.body))),
        ]
        start_response(_STATUS_LINES[response.status], headers)
        return [response.body]

    def _health(self, query: dict[str, str]) -> AdminResponse:
        """Report that the process is alive."""
        return AdminResponse(200, _TEXT, b'ok\n')

    def _readiness(self, query: dict[str, str]) -> AdminResponse:
        """Report whether the process accepts new requests."""
        if self._sources.ready():
            return AdminResponse(200, _TEXT, b'ready\n')
        return AdminResponse(503, _TEXT, b'not ready\n')

    def _metrics(self, query: dict[str, str]) -> AdminResponse:
        """Return the metrics in the Prometheus text format."""
        body = prometheus_client.generate_latest(self._sources.registry)
        return AdminResponse(200, prometheus_client.CONTENT_TYPE_LATEST, body)

    def _events(self, query: dict[str, str]) -> AdminResponse:
        """Return the events after the number in the query's ``since``."""
        since_text = query.get('since', '0')
        since = int(since_text) if since_text.isdecimal() else 0
        events = self._sources.events.since(since)[:MAX_EVENTS_PER_RESPONSE]
        return _to_json([dataclasses.asdict(event) for event in events])

    def _status(self, query: dict[str, str]) -> AdminResponse:
        """Return status details for operators."""
        return _to_json(self._sources.status())


def _not_found(query: dict[str, str]) -> AdminResponse:
    """Report that the path does not exist."""
    return AdminResponse(404, _TEXT, b'no such page\n')


def _to_json(value: Any) -> AdminResponse:
    """Return a response with a value as JSON."""
    return AdminResponse(200, _JSON, json.dumps(value, default=str).encode())
