"""Small WSGI frame for the HTTP stand-ins."""

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
    """One HTTP request as a stand-in sees it."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object, empty if it is none."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The answer; a body given in pieces is sent as each piece comes."""

    status: int
    body: bytes | Iterable[bytes]
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()


class StandinServer:
    """Serves one stand-in in threads, on loopback."""

    def __init__(
        self,
        handle: Callable[[Call], Result],
        port: int = 0,
        threads: int = 64,
    ) -> None:
        """Answer calls with ``handle``; port 0 takes a free one."""
        self._handle = handle
        self._server = wsgi.Server(
            ('127.0.0.1', port),
            self._serve,
            numthreads=threads,
            request_queue_size=256,
        )

        # A stand-in breaks connections on purpose.
        self._server.error_log = _ignore  # type: ignore[method-assign]

    @property
    def port(self) -> int:
        """The port listened on, once started."""
        return int(self._server.bind_addr[1])

    @property
    def url(self) -> str:
        """Base address of the stand-in."""
        return f'http://127.0.0.1:{self.port}'

    def start(self) -> 'StandinServer':
        """Listen and serve in the background."""
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()
        return self

    def stop(self) -> None:
        """Close the socket."""
        self._server.stop()

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI wants it."""
        result = self._handle(_read_call(environ))
        headers = [('Content-Type', result.content_type), *result.headers]
        body = result.body
        if isinstance(body, bytes):
            headers.append(('Content-Length', str(len(body))))
            body = [body]
        phrase = _PHRASES.get(result.status, 'Status')
        start_response(f'{result.status} {phrase}', headers)
        return body


def _ignore(*args: Any, **options: Any) -> None:
    """Print nothing."""


def json_result(
    value: Any,
    status: int = 200,
    headers: tuple[tuple[str, str], ...] = (),
) -> Result:
    """Return a JSON answer."""
    return Result(status, json.dumps(value).encode(), headers=headers)


def _read_call(environ: dict[str, Any]) -> Call:
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
