"""Processor time of a relayed token on sockets, against a bare relay."""

import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import urllib3
from cheroot import wsgi

from fuchsiafork.adapters.target_call import TargetCall
from fuchsiafork.kernel import SystemClock
from fuchsiafork.router.caller import Caller
from fuchsiafork.router.commands import RelayStream
from fuchsiafork.router.relay import Relay
from fuchsiafork.router.stall_limit import StallLimit
from measurements.capacity_fit import Series, measure

SIZES = (100, 200, 400)
REPEATS = 3
_GAP_S = 0.0005
PIECE_BYTES = 65_536
_TIMEOUT_S = 20.0
_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Connection: close\r\n\r\n'
)
_DONE = b'data: [DONE]\n\n'
_EVENT = (
    b'data: {"id": "delta-a-000.router.1a2b3c4d-77", "object": '
    b'"chat.completion.chunk", "choices": [{"index": 0, "delta": '
    b'{"content": "dough "}, "finish_reason": null}]}\n\n'
)

_Relaying = Callable[[str, Any], Iterable[bytes]]


class TokenSource:
    """A target that sends a token at a time and then closes."""

    def __init__(self) -> None:
        """Listen on loopback."""
        self._listener = socket.create_server(('127.0.0.1', 0))
        self._port = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def url(self) -> str:
        """Where it listens."""
        return f'http://127.0.0.1:{self._port}'

    def stop(self) -> None:
        """Close the socket."""
        self._listener.close()

    def _serve(self) -> None:
        """Answer one connection after the other."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._answer(connection)

    def _answer(self, connection: socket.socket) -> None:
        """Send as many tokens as the path names."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = connection.recv(65_536)
        tokens = int(request.split(b' ')[1].strip(b'/'))
        connection.sendall(_HEAD)
        for _ in range(tokens):
            connection.sendall(_EVENT)
            time.sleep(_GAP_S)
        connection.sendall(_DONE)


class RelayServer:
    """A cheroot server whose application relays and notes its time."""

    def __init__(self, source: TokenSource, relaying: str) -> None:
        """Serve with the product's relay or with a bare one."""
        self.seconds = 0.0
        self._source = source
        self._carry = {'product': _product, 'bare': _bare}[relaying]
        self._server = wsgi.Server(('127.0.0.1', 0), self._serve, numthreads=2)
        self._server.prepare()
        threading.Thread(target=self._server.serve, daemon=True).start()

    def fetch(self, tokens: int) -> float:
        """
        Return the relaying thread's processor seconds of one stream.

        :raises RuntimeError: if the caller's side did not get each token.
        """
        port = self._server.bind_addr[1]
        pool = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_S)
        answer = pool.request('GET', f'http://127.0.0.1:{port}/{tokens}')
        got = answer.data.count(b'"content"')
        if got != tokens or not answer.data.endswith(_DONE):
            raise RuntimeError(f'{got} of {tokens} tokens arrived')
        return self.seconds

    def least(self, tokens: int) -> float:
        """Return the least seconds of some streams."""
        return min(self.fetch(tokens) for _ in range(REPEATS))

    def stop(self) -> None:
        """Close all sockets."""
        self._server.stop()

    def _serve(self, environ: Any, start_response: Any) -> list[bytes]:
        """Relay one answer."""
        started = time.thread_time()
        self._carry(self._source.url, environ['PATH_INFO'], start_response)
        self.seconds = time.thread_time() - started
        return []


def _product(url: str, path: str, start_response: Any) -> None:
    """Relay with the product's call, caller and relay."""
    clock = SystemClock()
    call = TargetCall(url)
    call.connect()
    call.send('GET', path, {}, b'', _TIMEOUT_S)
    command = RelayStream(
        status=call.status,
        headers={'content-type': call.headers['content-type']},
        token_limit=1_000_000,
        prompt_tokens=0,
        max_body_bytes=65_536,
        drain=False,
        deadline=clock.now() + _TIMEOUT_S,
    )
    caller = Caller(start_response, None, StallLimit(1), _ignore)
    Relay(
        call,
        caller,
        clock,
        command,
        clock.now(),
        None,
        PIECE_BYTES,
    ).run()
    call.close()


def _ignore(*args: Any, **fields: Any) -> None:
    """Take no note of a stall."""


def _bare(url: str, path: str, start_response: Any) -> None:
    """Relay with urllib3 and cheroot alone."""
    pool = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_S)
    answer = pool.request('GET', url + path, preload_content=False)
    write = start_response('200 OK', [('Content-Type', 'text/event-stream')])
    while piece := answer.read1(PIECE_BYTES):
        write(piece)
    answer.release_conn()


def relay_series() -> Iterator[Series]:
    """Yield the time of a stream by its tokens, product and bare."""
    source = TokenSource()
    for relaying in ('product', 'bare'):
        server = RelayServer(source, relaying)
        yield measure(
            f'relay_{relaying}',
            'us/token',
            SIZES,
            lambda size, server=server: server.least(size) * 1e6,  # type: ignore[misc]
        )
        server.stop()
    source.stop()
