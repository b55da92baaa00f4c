"""Standard output that never blocks its process and bounds its volume."""

import collections
import os

from fuchsiafork.kernel import Clock

# Lines a second, and lines at once, of what goes as it should and of all else.
# Lines of failed requests and of lost dependencies are left out last.
ORDINARY_PER_S = 60.0
ORDINARY_BURST = 200.0
URGENT_PER_S = 200.0
URGENT_BURST = 1000.0
# Bytes that wait for a reader of a full pipe; more are left out.
WAITING_BYTES = 262_144

# Events of which there are as many as requests.
_ORDINARY = (
    ' event=request_answered ',
    ' event=request_sent ',
    ' event=tokens_given ',
)


class LineBudget:
    """Token buckets for lines, without I/O."""

    def __init__(self, clock: Clock) -> None:
        """Start with full buckets."""
        self._clock = clock
        self._tokens = {False: ORDINARY_BURST, True: URGENT_BURST}
        self._filled_at = clock.now()

    def admit(self, *, urgent: bool) -> bool:
        """Return whether a line may be written, and count it."""
        self._fill()
        if self._tokens[urgent] < 1:
            return False
        self._tokens[urgent] -= 1
        return True

    def _fill(self) -> None:
        """Add what has come since the last call."""
        now = self._clock.now()
        elapsed = max(0.0, now - self._filled_at)
        self._filled_at = now
        rates = {
            False: (ORDINARY_PER_S, ORDINARY_BURST),
            True: (URGENT_PER_S, URGENT_BURST),
        }
        for urgent, (rate, burst) in rates.items():
            filled = self._tokens[urgent] + rate * elapsed
            self._tokens[urgent] = min(burst, filled)


class BoundedOutput:
    """
    File-like object for the log.

    :ivar left_out: lines that were not written since the last report.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Write to a file descriptor, which no longer blocks."""
        self.left_out = 0
        self._descriptor = descriptor
        self._budget = LineBudget(clock)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> int:
        """Return the length of a line after taking or leaving it out."""
        urgent = not any(event in line for event in _ORDINARY)
        if self._budget.admit(urgent=urgent):
            self._push(line.encode(errors='replace'))
        else:
            self.left_out += 1
        return len(line)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more.
                self._waiting.clear()
                self._waiting_bytes = 0
                return
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
            else:
                self._waiting.popleft()

    def report(self) -> int:
        """Return how many lines were left out since the last call."""
        count, self.left_out = self.left_out, 0
        return count

    def _push(self, data: bytes) -> None:
        """Keep a line until it is written."""
        if self._waiting_bytes + len(data) > WAITING_BYTES:
            self.left_out += 1
            return
        self._waiting.append(data)
        self._waiting_bytes += len(data)
