"""Minimal WSGI server for the HTTP stand-ins."""

import dataclasses
import json
import threading
from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_PHRASES = {
    200: 'OK',
    202: 'Accepted',
    400: 'Bad Request',
    404: 'Not Found',
    409: 'Conflict',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request to a stand-in."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if it isn't a valid one."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """An HTTP answer; the chunks of an iterable body are sent as they come."""

    status: int
    body: bytes | Iterable[bytes]
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


class StandinServer:
    """Serves a stand-in on loopback with a thread pool."""

    def __init__(
        self,
        handle: Callable[[Call], Result],
        port: int = 0,
        threads: int = 64,
    ) -> None:
        """Answer calls with ``handle``; port 0 selects a free port."""
        self._handle = handle
        self._server = wsgi.Server(
            ('127.0.0.1', port),
            self._serve,
            numthreads=threads,
            request_queue_size=256,
        )

        # Stand-ins break connections on purpose; the errors aren't logged.
        self._server.error_log = _discard_log  # type: ignore[method-assign]

    @property
    def port(self) -> int:
        """The listening port, once started."""
        return int(self._server.bind_addr[1])

    @property
    def url(self) -> str:
        """Base URL of the stand-in."""
        return f'http://127.0.0.1:{self.port}'

    def start(self) -> 'StandinServer':
        """Listen and serve in a background thread."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        return self

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request; the WSGI application of the server."""
        result = self._handle(_parse_call(environ))
        headers = [('Content-Type', result.content_type), *result.headers]
        body = result.body
        if isinstance(body, bytes):
            headers.append(('Content-Length', str(len(body))))
            body = [body]
        phrase = _PHRASES.get(result.status, 'Status')
        start_response(f'{result.status} {phrase}', headers)
        return body


def _discard_log(*args: Any, **options: Any) -> None:
    """Discard an error of the server."""


def json_result(
    value: Any,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
) -> Result:
    """Return a JSON answer."""
    return Result(status, json.dumps(value).encode(), headers=headers)


def _parse_call(environ: dict[str, Any]) -> Call:
    """Return the request of a WSGI environment."""
    headers = {
        name.removeprefix('HTTP_').replace('_', '-').lower(): text
        for name, text in environ.items()
        if name.startswith('HTTP_')
    }
    return Call(
        method=environ['REQUEST_METHOD'],
        path=environ['PATH_INFO'],
        query=environ.get('QUERY_STRING', ''),
        headers=headers,
        body=environ['wsgi.input'].read(),
    )
