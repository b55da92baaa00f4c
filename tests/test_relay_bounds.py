"""Tests of the limits on headers, bodies and the time to receive them."""

import json
import random
import socket
import time
import unittest

from fuchsiafork.kernel import EventRing, HybridClock, Identity, SystemClock
from fuchsiafork.router.application import Application
from fuchsiafork.router.commands import SharedState
from fuchsiafork.router.metrics import RouterMetrics
from fuchsiafork.router.request_ids import RequestIds
from fuchsiafork.router.retry_budget import RetryBudget
from fuchsiafork.router.server import CallerServer
from fuchsiafork.router.stall_limit import StallLimit
from fuchsiafork.settings.models import RouterSection

BODY_LIMIT = 20_000
HEADER_LIMIT = 4_000
READ_DEADLINE_S = 1.0


class _StubDirectory:
    """Directory without lookups, which only happen after the body is read."""

    revision = 1


class TestRequestBounds(unittest.TestCase):
    """A caller server on a real socket."""

    def setUp(self) -> None:
        """Start a server with small limits."""
        clock = SystemClock()
        identity = Identity('a-1/router', 'a', 'a-1', 'x')
        events = EventRing(HybridClock('a-1/router', clock))
        application = Application(
            RequestIds(identity),
            SharedState('a-1', clock, random.Random(1), events, RetryBudget()),
            lambda caller: self.fail('no request may be served'),
            RouterMetrics(),
            BODY_LIMIT,
            StallLimit(1),
        )
        application.directory = _StubDirectory()  # type: ignore[assignment]
        section = RouterSection.model_validate({
            'listen': '127.0.0.1:0',
            'admin': '127.0.0.1:1',
            'keepers': '127.0.0.1:2',
            'token': 'x' * 20,
            'threads': 2,
            'header_limit_bytes': HEADER_LIMIT,
            'body_limit_bytes': BODY_LIMIT,
            'read_deadline_s': READ_DEADLINE_S,
        })
        server = CallerServer(application, section, clock)
        server.start()
        self.addCleanup(server.stop)
        self.caller = socket.create_connection(('127.0.0.1', server.port))
        self.caller.settimeout(10)
        self.addCleanup(self.caller.close)

    def test_headers_over_the_bound(self) -> None:
        """Guards against headers that fill memory."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\nX-Long: ')
        self._send(b'x' * (HEADER_LIMIT + 1) + b'\r\n\r\n')
        self.assertIn(b' 413 ', self._status())

    def test_endless_header_line(self) -> None:
        """Guards against an endless header that is kept in memory."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\nX-Long: ')
        self._send(b'x' * (HEADER_LIMIT * 4))
        self.assertIn(b' 413 ', self._status())

    def test_body_over_the_bound(self) -> None:
        """Guards against a body that fills memory, with and without length."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\n')
        self._send(b'Content-Length: %d\r\n\r\n' % (BODY_LIMIT + 1))
        self.assertIn(b' 413 ', self._status())

    def test_chunked_body_over_the_bound(self) -> None:
        """Guards against a body of unknown length that fills memory."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\n')
        self._send(b'Transfer-Encoding: chunked\r\n\r\n')
        chunk = b'1000\r\n' + b'x' * 0x1000 + b'\r\n'
        for _ in range(BODY_LIMIT // 0x1000 + 2):
            self._send(chunk)
        self.assertIn(b' 413 ', self._status())

    def test_endless_chunk_size(self) -> None:
        """Guards against an endless chunk header."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\n')
        self._send(b'Transfer-Encoding: chunked\r\n\r\n')
        self._send(b'0' * 200_000)
        self.assertIn(b' 413 ', self._status())

    def test_slow_body(self) -> None:
        """Guards against a worker thread held by a body sent byte by byte."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\n')
        self._send(b'Content-Length: 1000\r\n\r\n')
        answer = self._send_slowly()
        self.assertIn(b' 400 ', answer.splitlines()[0])
        head, _, rest = answer.partition(b'\r\n\r\n')
        self.assertIn(b'x-run-state: not_run', head.lower())
        body = json.loads(rest or self.caller.recv(65_536))
        self.assertEqual(body['error']['code'], 2002)
        self.assertEqual(body['error']['run_state'], 'not_run')

    def test_slow_headers(self) -> None:
        """Guards against a worker thread held by headers sent byte by byte."""
        self._send(b'POST /v1/x HTTP/1.1\r\nHost: a\r\nX-Long: ')
        answer = self._send_slowly()
        self.assertIn(b' 408 ', answer.splitlines()[0])

    def _send_slowly(self) -> bytes:
        """Send single bytes at intervals and return the answer."""
        began = time.monotonic()
        self.caller.settimeout(READ_DEADLINE_S / 5)
        while True:
            self._send(b'x')
            try:
                answer = self.caller.recv(65_536)
            except TimeoutError:
                self.assertLess(time.monotonic() - began, READ_DEADLINE_S * 5)
            else:
                return answer

    def _send(self, data: bytes) -> None:
        """Send bytes; the server may have closed the connection."""
        try:
            self.caller.sendall(data)
        except OSError:
            return

    def _status(self) -> bytes:
        """Return the first line of the answer."""
        return self.caller.recv(65_536).splitlines()[0]
