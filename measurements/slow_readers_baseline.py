"""Unbounded relay: reads an answer into memory, whatever its caller does."""

import socket
import threading
import time
from collections.abc import Callable

from fuchsiafork.adapters.target_call import BrokenCallError, TargetCall

_SLICE = 65_536


class HeldBytes:
    """Bytes that a relay has read and not yet sent, and their peak."""

    def __init__(self) -> None:
        """Start with nothing held."""
        self.peak = 0
        self._now = 0
        self._lock = threading.Lock()

    def add(self, size: int) -> None:
        """Count bytes in, or out if negative."""
        with self._lock:
            self._now += size
            self.peak = max(self.peak, self._now)


class UnboundedRelay:
    """One answer whose target is read as fast as it generates."""

    def __init__(
        self,
        url: str,
        request_id: str,
        body: bytes,
        held: HeldBytes,
    ) -> None:
        """Call an engine directly; the caller's end is ``socket``."""
        self.socket, self._own = socket.socketpair()
        self._own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SLICE)
        self._call = (url, request_id, body)
        self._held = held
        self._buffer = bytearray()
        self._ended = False
        self._spawn(self._read)
        self._spawn(self._send)

    def _spawn(self, target: Callable[[], None]) -> None:
        """Run a half of the relay in a thread."""
        threading.Thread(target=target, daemon=True).start()

    def _read(self) -> None:
        """Read the answer into memory."""
        url, request_id, body = self._call
        call = TargetCall(url)
        call.connect()
        headers = {'X-Request-Id': request_id}
        try:
            call.send('POST', '/v1/chat/completions', headers, body, 30)
            while piece := call.read(_SLICE):
                self._held.add(len(piece))
                self._buffer.extend(piece)
        except BrokenCallError:
            self._ended = True
        self._ended = True

    def _send(self) -> None:
        """Send what is in memory as fast as the caller reads."""
        while self._buffer or not self._ended:
            piece = bytes(self._buffer[:_SLICE])
            if not piece:
                time.sleep(0.02)
                continue
            try:
                self._own.sendall(piece)
            except OSError:
                break
            del self._buffer[: len(piece)]
            self._held.add(-len(piece))
        self._own.close()
