"""Tests of the log output: its rate limits and a stalled reader."""

import os
import unittest

from fuchsiafork.observability.output import (
    MAX_BUFFERED_BYTES,
    ORDINARY_BURST,
    ORDINARY_PER_S,
    BoundedOutput,
)
from standins.virtual import VirtualClock

ORDINARY = 'level=info event=request_answered request_id=r\n'
URGENT = 'level=warning event=request_refused request_id=r\n'


class TestBoundedOutput(unittest.TestCase):
    """Log lines written to a pipe."""

    def setUp(self) -> None:
        """Create an output that writes to a pipe."""
        self.clock = VirtualClock()
        self.reader, writer = os.pipe()
        self.output = BoundedOutput(writer, self.clock)
        self.addCleanup(os.close, writer)
        self.addCleanup(os.close, self.reader)

    def test_ordinary_lines_are_rate_limited(self) -> None:
        """Guards against a log volume that grows with the load."""
        for _ in range(10_000):
            self.output.write(ORDINARY)
        dropped = self.output.pop_dropped_count()
        self.assertEqual(dropped, 10_000 - ORDINARY_BURST)
        self.assertEqual(self.output.pop_dropped_count(), 0)
        self.clock.advance(1)
        for _ in range(1000):
            self.output.write(ORDINARY)
        self.assertEqual(self.output.pop_dropped_count(), 1000 - ORDINARY_PER_S)

    def test_ordinary_lines_do_not_displace_failures(self) -> None:
        """Guards against dropping the lines that explain failed requests."""
        for _ in range(10_000):
            self.output.write(ORDINARY)
        self.output.pop_dropped_count()
        for _ in range(500):
            self.output.write(URGENT)
        self.assertEqual(self.output.pop_dropped_count(), 0)

    def test_full_pipe_does_not_block(self) -> None:
        """Guards against a process that blocks on the reader of its log."""
        line = URGENT.replace('\n', 'x' * 1000 + '\n')
        for _ in range(600):
            self.output.write(line)
            self.output.flush()
            self.clock.advance(1)
        self.assertGreater(self.output.pop_dropped_count(), 0)
        buffered = sum(map(len, self.output._buffer))
        self.assertLessEqual(buffered, MAX_BUFFERED_BYTES)

    def _read_all(self) -> bytes:
        """Return the bytes in the pipe."""
        try:
            return os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return b''

    def test_lines_are_complete_and_in_order(self) -> None:
        """Guards against lines cut or reordered by partial writes."""
        os.set_blocking(self.reader, False)
        received = bytearray()
        for number in range(300):
            self.output.write(f'{number:05d}{"y" * 995}\n')
            self.output.flush()
            if number % 60 == 59:
                received += self._read_all()
            self.clock.advance(1)
        while self.output._buffer:
            received += self._read_all()
            self.output.flush()
        received += self._read_all()
        numbers = [int(line[:5]) for line in received.decode().splitlines()]
        self.assertEqual(numbers, list(range(300)))
