"""Faults of the stand-ins that the process tests found."""

import dataclasses
import unittest

from standins.engine_server import EngineServer
from standins.engine_types import Record, State, Submission


@dataclasses.dataclass(slots=True)
class _GrowingRecord:
    """A record that gains a token each time that it is read."""

    state: State = State.RUNNING
    reads: int = 0

    @property
    def tokens(self) -> int:
        """Tokens generated so far."""
        self.reads += 1
        return self.reads


class TestEngineStream(unittest.TestCase):
    """The engine stand-in's streamed answer."""

    def test_token_made_while_streaming_is_not_skipped(self) -> None:
        """Guards against a stand-in that truncates answers by itself."""
        engine = EngineServer('engine')
        self.addCleanup(engine.server.stop)
        engine.server.start()
        growing = _GrowingRecord()
        whole = Record(
            Submission('r'),
            'v1',
            0,
            0,
            0,
            fails=False,
            state=State.DONE,
            tokens=9,
        )
        answers = iter((growing, whole))
        engine._wait = lambda *_: next(answers)  # type: ignore[method-assign,assignment,return-value]
        chunks = list(engine._tokens('r', 0))
        self.assertEqual(len(chunks), 9)
