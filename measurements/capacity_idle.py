"""Processor time of a keeper without requests, in a full failure domain."""

import itertools
import time
from collections.abc import Iterator

from fuchsiafork.kernel.hlc import Stamp
from fuchsiafork.messages import HeartbeatAck, decode, encode
from measurements.capacity_fit import Series, measure
from measurements.capacity_nodes import REPEATS, TICK_S, LoneKeeper
from measurements.capacity_time import heartbeat

SIZES = (15, 30, 60)
_STAMP = Stamp(1_800_000_000_000, 7, 'delta-a-001/keeper')
_PEER = 'delta-a-001/keeper'
_BEATS_S = 2
_TICKS_S = round(1 / TICK_S)


class BusyKeeper(LoneKeeper):
    """A keeper whose messages pass the codec, and whose peers answer."""

    def __init__(self, members: int) -> None:
        """Prepare the frames that each peer sends."""
        super().__init__(members)
        own = self.context.identity.node
        self._members = members
        self._acknowledged = 0
        self._beat = encode(_PEER, own, _STAMP, heartbeat())
        self._ack = encode(_PEER, own, _STAMP, HeartbeatAck(_PEER, 1.5))

    def second(self) -> float:
        """Return the processor seconds of one second."""
        started = time.process_time()
        for number in range(_TICKS_S):
            self.clock.advance(TICK_S)
            self.node.tick()
            self._send()
            if number % (_TICKS_S // _BEATS_S) == 0:
                self._receive()
        return time.process_time() - started

    def _receive(self) -> None:
        """Take each peer's heartbeat, and as many answers as this gave."""
        own = self.context.identity.node
        answers, self._acknowledged = self._acknowledged, 0
        beats = itertools.repeat(self._beat, self._members)
        acks = itertools.repeat(self._ack, answers)
        for frame in itertools.chain(beats, acks):
            envelope = decode(frame)
            self.node.receive(envelope.message, envelope.sender, own)
            self._send()

    def _send(self) -> None:
        """Encode what the keeper has queued."""
        sends, _ = self.context.outbox.drain()
        own = self.context.identity.node
        for send in sends:
            encode(own, send.destination, _STAMP, send.message)
            self._acknowledged += isinstance(send.message, HeartbeatAck)


def idle_series() -> Iterator[Series]:
    """Yield the idle processor time by peers."""
    yield measure('idle_cpu', 'us/s and heartbeat peer', SIZES, _idle_micros)


def _idle_micros(members: int) -> float:
    """Return the least processor microseconds of a second."""
    keeper = BusyKeeper(members)
    keeper.second()
    return min(keeper.second() for _ in range(2 * REPEATS)) * 1e6
