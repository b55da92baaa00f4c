"""Tests of the relay with slow callers: pause, resume, deadline, limit."""

import random
import socket
import threading
import time
import unittest
from typing import Any

from fuchsiafork import messages
from fuchsiafork.adapters.target_call import TargetCall
from fuchsiafork.kernel import EventRing, HybridClock, SystemClock
from fuchsiafork.router.caller import Caller
from fuchsiafork.router.commands import CallTarget, RelayResult, RelayStream
from fuchsiafork.router.engine_stream import EngineStream
from fuchsiafork.router.relay import Relay
from fuchsiafork.router.stall_limit import StallLimit
from fuchsiafork.router.stream import EventSplitter
from fuchsiafork.router.writer import CallerWriter
from standins.deployment import is_complete_answer
from standins.engine_server import EngineServer
from standins.engine_types import EngineSettings, State

TOKENS = 120
TOKEN_BYTES = 8192
STALL_S = 0.3
_HEAD = {'content-type': 'text/event-stream'}


class SlotOwner:
    """Grants slots on the given targets in turn and records the messages."""

    def __init__(self, offers: tuple[str, ...] = ('engine',)) -> None:
        """Grant these targets in order, then always the last one."""
        self._offers = offers
        self.requests: list[messages.AcquireSlot] = []
        self.released: list[str] = []

    def request_reply(
        self, message: Any, destination: str, timeout_s: float
    ) -> Any:
        """Return a grant, or a refusal for an empty target."""
        offer = self._offers[min(len(self.requests), len(self._offers) - 1)]
        self.requests.append(message)
        if not offer:
            return messages.SlotRefused(
                message.request_id, 'assistant', 2203, 0.1
            )
        return grant(message.request_id, offer)

    def send_message(self, message: Any, destination: str) -> None:
        """Record a release."""
        self.released.append(message.target)


def grant(request_id: str, target: str) -> messages.SlotAcquired:
    """Return a slot on a target."""
    return messages.SlotAcquired(
        request_id=request_id,
        route='assistant',
        target=target,
        url='',
        version='v1',
        owner='a-1/keeper',
    )


class RelayedAnswer:
    """One relayed answer between an engine and a caller's socket."""

    def __init__(
        self,
        engine: EngineServer,
        owner: SlotOwner,
        stalls: StallLimit,
        write_deadline_s: float = 20.0,
        time_s: float = 20.0,
    ) -> None:
        """Open the engine's stream and start the relay in a thread."""
        clock = SystemClock()
        self.events = EventRing(HybridClock('a-1/router', clock))
        self.socket, router_socket = connected_pair()
        # The server's sockets also have a timeout; a send must not wait for it.
        router_socket.settimeout(10)
        writer = CallerWriter(router_socket, clock, STALL_S, write_deadline_s)
        caller = Caller(
            lambda status, headers: writer.write,
            writer,
            stalls,
            self.events.record,
        )
        deadline = clock.now() + time_s
        command = call_command(engine, deadline)
        call = TargetCall(command.url)
        call.connect()
        call.send('POST', command.path, command.headers, command.body, 5)
        request = messages.AcquireSlot(
            request_id='r1.s1',
            route='assistant',
            group='g',
            account='bakers',
            priority=5,
            deadline_s=time_s,
            prefixes=(),
            exclude=(),
            foreign=False,
        )
        stream = EngineStream(
            owner,
            clock,
            self.events,
            command,
            (request, grant('r1.s1', 'engine')),
        )
        relay_command = RelayStream(
            status=200,
            headers=_HEAD,
            prompt_tokens=1,
            token_limit=1000,
            max_body_bytes=0,
            drain=False,
            deadline=deadline,
        )
        self._relay = Relay(
            call, caller, clock, relay_command, 0, stream, 65_536
        )
        self._router_socket = router_socket
        self._done: list[RelayResult] = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def result(self) -> RelayResult:
        """Return the result of the relay."""
        self._thread.join(30)
        return self._done[0]

    def read(self) -> bytes:
        """Read and return all that the caller receives."""
        body = bytearray()
        while piece := self.socket.recv(65_536):
            body.extend(piece)
        self.socket.close()
        return bytes(body)

    def kinds(self) -> list[str]:
        """Return the kinds of the events in order."""
        return [event.kind for event in self.events.since(0)]

    def _run(self) -> None:
        """Relay, then close the socket as the server does."""
        self._done.append(self._relay.run())
        self._router_socket.close()


def connected_pair() -> tuple[socket.socket, socket.socket]:
    """Return a caller's socket with a small buffer and its other end."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect(listener.getsockname())
        return caller, listener.accept()[0]


def call_command(engine: EngineServer, deadline: float) -> CallTarget:
    """Return the call that opens a long answer."""
    body = (
        f'{{"messages": [{{"role": "user", "content": "plan"}}],'
        f'"max_tokens": {TOKENS}, "stream": true,'
        f'"standin_token_bytes": {TOKEN_BYTES}}}'
    )
    return CallTarget(
        target='engine',
        url=engine.server.url,
        method='POST',
        path='/v1/chat/completions',
        headers={'X-Request-Id': 'r1'},
        body=body.encode(),
        deadline=deadline,
    )


class TestStalledCaller(unittest.TestCase):
    """A caller that stops reading in the middle of an answer."""

    def setUp(self) -> None:
        """Start an engine whose answer outlasts every buffer."""
        settings = EngineSettings(step_s=0.01, stream_s=0)
        self.engine = EngineServer('engine', settings)
        self.engine.server.start()
        self.addCleanup(self.engine.server.stop)
        self.stalls = StallLimit(4)

    def test_engine_is_paused_and_answer_is_whole(self) -> None:
        """Guards against a stall that holds a slot or truncates the answer."""
        owner = SlotOwner()
        relayed_answer = RelayedAnswer(self.engine, owner, self.stalls)
        self._await_state(State.PAUSED)
        self.assertEqual(owner.released, ['engine'])
        self.assertEqual(self.engine.model.active, 0)
        self.assertEqual(self.stalls.count, 1)
        self.assertEqual(owner.requests, [])
        body = relayed_answer.read()
        relayed = relayed_answer.result()
        self.assertTrue(is_complete_answer(body, TOKENS), body[-200:])
        self.assertTrue(relayed.complete)
        record = self.engine.model.records['r1']
        self.assertEqual(record.tokens, TOKENS)
        self.assertEqual(
            relayed.tokens,
            record.submission.prompt_tokens + TOKENS,
        )
        self.assertEqual(
            relayed_answer.kinds(),
            ['stream_stalled', 'stream_paused', 'stream_resumed'],
        )
        self.assertEqual(self.stalls.count, 0)

    def test_slot_of_another_target_is_released(self) -> None:
        """Guards against a resume on a target that lacks the stream."""
        owner = SlotOwner(('other', '', 'engine'))
        relayed_answer = RelayedAnswer(self.engine, owner, self.stalls)
        self._await_state(State.PAUSED)
        body = relayed_answer.read()
        self.assertTrue(is_complete_answer(body, TOKENS), body[-200:])
        self.assertEqual(owner.released, ['engine', 'other'])
        excluded = [request.exclude for request in owner.requests]
        self.assertEqual(excluded, [(), ('other',), ()])

    def test_lost_engine_stream_truncates_answer(self) -> None:
        """Guards against a truncated answer that counts as complete."""
        self.engine.resumable = False
        relayed_answer = RelayedAnswer(self.engine, SlotOwner(), self.stalls)
        self._await_state(State.PAUSED)
        body = relayed_answer.read()
        relayed = relayed_answer.result()
        self.assertFalse(relayed.complete)
        self.assertTrue(relayed.reached_caller)
        self.assertFalse(relayed.caller_gone)
        self.assertNotIn(b'[DONE]', body)
        self.assertEqual(relayed_answer.kinds()[-1], 'resume_failed')

    def test_no_slot_before_the_deadline_is_an_error(self) -> None:
        """Guards against an endless wait for a slot."""
        relayed_answer = RelayedAnswer(
            self.engine, SlotOwner(('',)), self.stalls, time_s=2
        )
        self._await_state(State.PAUSED)
        relayed_answer.read()
        self.assertFalse(relayed_answer.result().complete)
        self._await_state(State.CANCELLED)

    def test_caller_without_progress_is_closed(self) -> None:
        """Guards against a caller that holds memory and a thread forever."""
        relayed_answer = RelayedAnswer(
            self.engine, SlotOwner(), self.stalls, 1.0
        )
        relayed = relayed_answer.result()
        self.assertTrue(relayed.caller_gone)
        self.assertFalse(relayed.complete)
        self.assertEqual(relayed_answer.kinds()[-1], 'slow_caller_closed')
        self.assertEqual(self.stalls.count, 0)
        self._await_state(State.CANCELLED)
        relayed_answer.socket.close()

    def test_stall_over_the_limit_is_closed(self) -> None:
        """Guards against slow callers that occupy every worker thread."""
        relayed_answer = RelayedAnswer(self.engine, SlotOwner(), StallLimit(0))
        relayed = relayed_answer.result()
        self.assertTrue(relayed.caller_gone)
        self.assertEqual(relayed_answer.kinds(), ['slow_caller_closed'])
        self._await_state(State.CANCELLED)
        relayed_answer.socket.close()

    def test_slow_reading_caller_is_not_stalled(self) -> None:
        """Guards against a slowly reading caller that is treated as stalled."""
        relayed_answer = RelayedAnswer(self.engine, SlotOwner(), self.stalls)
        body = bytearray()
        while piece := relayed_answer.socket.recv(16_384):
            body.extend(piece)
            time.sleep(STALL_S / 10)
        self.assertTrue(is_complete_answer(bytes(body), TOKENS), body[-200:])
        self.assertEqual(relayed_answer.kinds(), [])
        relayed_answer.socket.close()

    def _await_state(self, state: State) -> None:
        """Wait until the engine's stream has reached a state."""
        deadline = time.monotonic() + 5
        while self.engine.model.records['r1'].state is not state:
            self.assertLess(time.monotonic(), deadline, state)
            time.sleep(0.01)
        time.sleep(0.1)


class TestSplitter(unittest.TestCase):
    """Splitting a stream at event boundaries."""

    def test_only_whole_events_pass(self) -> None:
        """Guards against a resume that repeats the start of an event."""
        rng = random.Random(3)
        for end in (b'\n\n', b'\r\n\r\n'):
            text = b''.join(b'data: %d' % one + end for one in range(50))
            splitter, passed, rest = EventSplitter(), b'', text
            while rest:
                size = rng.randint(1, 30)
                passed += splitter.feed(rest[:size])
                rest = rest[size:]
                self.assertTrue(not passed or passed.endswith(end))
            self.assertEqual(passed, text)
            self.assertEqual(splitter.feed(b'tail') + splitter.drain(), b'tail')

    def test_endless_event_is_passed_in_parts(self) -> None:
        """Guards against memory that grows with one event."""
        splitter = EventSplitter()
        passed = sum(len(splitter.feed(b'x' * 8192)) for _ in range(100))
        self.assertTrue(splitter.split)
        self.assertGreater(passed, 700_000)
