"""The bound on the log's volume, and a reader that doesn't read."""

import os
import unittest

from fuchsiafork.observability.output import (
    ORDINARY_BURST,
    ORDINARY_PER_S,
    WAITING_BYTES,
    BoundedOutput,
)
from standins.virtual import VirtualClock

ORDINARY = 'level=info event=request_answered request_id=r\n'
URGENT = 'level=warning event=request_refused request_id=r\n'


class TestBoundedOutput(unittest.TestCase):
    """Lines to a pipe."""

    def setUp(self) -> None:
        """Open a pipe."""
        self.clock = VirtualClock()
        self.reader, writer = os.pipe()
        self.output = BoundedOutput(writer, self.clock)
        self.addCleanup(os.close, writer)
        self.addCleanup(os.close, self.reader)

    def test_ordinary_lines_are_bounded(self) -> None:
        """Guards against a log that grows with the load."""
        for _ in range(10_000):
            self.output.write(ORDINARY)
        left_out = self.output.report()
        self.assertEqual(left_out, 10_000 - ORDINARY_BURST)
        self.assertEqual(self.output.report(), 0)
        self.clock.advance(1)
        for _ in range(1000):
            self.output.write(ORDINARY)
        self.assertEqual(self.output.report(), 1000 - ORDINARY_PER_S)

    def test_lines_of_failures_stay(self) -> None:
        """Guards against losing what a complaint is explained by."""
        for _ in range(10_000):
            self.output.write(ORDINARY)
        self.output.report()
        for _ in range(500):
            self.output.write(URGENT)
        self.assertEqual(self.output.report(), 0)

    def test_full_pipe_does_not_block(self) -> None:
        """Guards against a process that waits for the reader of its log."""
        line = URGENT.replace('\n', 'x' * 1000 + '\n')
        for _ in range(600):
            self.output.write(line)
            self.output.flush()
            self.clock.advance(1)
        self.assertGreater(self.output.report(), 0)
        waiting = sum(map(len, self.output._waiting))
        self.assertLessEqual(waiting, WAITING_BYTES)

    def _read_all(self) -> bytes:
        """Return what is in the pipe."""
        try:
            return os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return b''

    def test_lines_come_whole_and_in_order(self) -> None:
        """Guards against lines that are mixed up after a full pipe."""
        os.set_blocking(self.reader, False)
        taken = bytearray()
        for number in range(300):
            self.output.write(f'{number:05d}{"y" * 995}\n')
            self.output.flush()
            if number % 60 == 59:
                taken += self._read_all()
            self.clock.advance(1)
        while self.output._waiting:
            taken += self._read_all()
            self.output.flush()
        taken += self._read_all()
        numbers = [int(line[:5]) for line in taken.decode().splitlines()]
        self.assertEqual(numbers, list(range(300)))
