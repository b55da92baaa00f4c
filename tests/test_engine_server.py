"""Tests of the HTTP stand-in of a model engine."""

import dataclasses
import unittest

from standins.engine_server import EngineServer
from standins.engine_types import Record, State, Submission


@dataclasses.dataclass(slots=True)
class _GrowingRecord:
    """A record that gains a token at each read."""

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
        """Guards against tokens skipped if a record grows while it is read."""
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
        engine._wait_for_tokens = lambda *_: next(answers)  # type: ignore[method-assign,assignment,return-value]
        chunks = list(engine._stream_tokens('r', 0))
        self.assertEqual(len(chunks), 9)
