"""Non-blocking, rate-limited log output."""

import collections
import os

from fuchsiafork.kernel import Clock

# Lines per second and burst sizes, for ordinary events and for all others, the
# urgent ones. Urgent lines, about failed requests and lost dependencies, have
# the higher limits so that they are dropped last.
ORDINARY_PER_S = 60.0
ORDINARY_BURST = 200.0
URGENT_PER_S = 200.0
URGENT_BURST = 1000.0
# Bytes that are buffered while the pipe is full; further lines are dropped.
MAX_BUFFERED_BYTES = 262_144

# Parts of lines that occur about once per request.
_ORDINARY_PARTS = (
    ' event=request_answered ',
    ' event=request_sent ',
    ' event=request_waited ',
    ' event=tokens_given ',
    # Refusals under overload, as many as there are requests.
    ' code=2212 ',
)


class LineRateLimiter:
    """Token buckets that limit the lines logged."""

    def __init__(self, clock: Clock) -> None:
        """Start with full buckets."""
        self._clock = clock
        # Keyed by whether a line is urgent.
        self._tokens = {False: ORDINARY_BURST, True: URGENT_BURST}
        self._refilled_at = clock.now()

    def admit(self, *, urgent: bool) -> bool:
        """Take a token for a line; return False if there is none."""
        self._refill()
        if self._tokens[urgent] < 1:
            return False
        self._tokens[urgent] -= 1
        return True

    def _refill(self) -> None:
        """Add the tokens accrued since the last call."""
        now = self._clock.now()
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        rates = {
            False: (ORDINARY_PER_S, ORDINARY_BURST),
            True: (URGENT_PER_S, URGENT_BURST),
        }
        for urgent, (rate, burst) in rates.items():
            refilled = self._tokens[urgent] + rate * elapsed
            self._tokens[urgent] = min(burst, refilled)


def is_ordinary(line: str) -> bool:
    """Return whether a line is one of those about once per request."""
    return any(part in line for part in _ORDINARY_PARTS)


class BoundedOutput:
    """
    File-like object for the log that drops lines beyond its limits.

    :ivar dropped_lines: lines dropped since the last `pop_dropped_count`.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Set a file descriptor to non-blocking mode and write to it."""
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._rate_limiter = LineRateLimiter(clock)
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> int:
        """Buffer or drop a line; return its length in either case."""
        if self._rate_limiter.admit(urgent=not is_ordinary(line)):
            self._append(line.encode(errors='replace'))
        else:
            self.dropped_lines += 1
        return len(line)

    def flush(self) -> None:
        """Write buffered lines until the pipe is full."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
            else:
                self._buffer.popleft()

    def pop_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        count, self.dropped_lines = self.dropped_lines, 0
        return count

    def _append(self, data: bytes) -> None:
        """Buffer a line, or drop it if the buffer is full."""
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_lines += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)
