"""Slow callers against the relay: pause, resume, deadline and limit."""

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
from standins.deployment import whole_answer
from standins.engine_server import EngineServer
from standins.engine_types import EngineSettings, State

TOKENS = 120
TOKEN_BYTES = 8192
STALL_S = 0.3
_HEAD = {'content-type': 'text/event-stream'}


class Owner:
    """Grants the slots offered in turn, and keeps what it was told."""

    def __init__(self, offers: tuple[str, ...] = ('engine',)) -> None:
        """Offer these targets, the last one again and again."""
        self._offers = offers
        self.asked: list[messages.AcquireSlot] = []
        self.released: list[str] = []

    def request_reply(
        self, message: Any, destination: str, timeout_s: float
    ) -> Any:
        """Return a grant."""
        offer = self._offers[min(len(self.asked), len(self._offers) - 1)]
        self.asked.append(message)
        if not offer:
            return messages.SlotRefused(
                message.request_id, 'assistant', 2203, 0.1
            )
        return grant(message.request_id, offer)

    def send_message(self, message: Any, destination: str) -> None:
        """Keep a release."""
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


class Exchange:
    """One relayed answer between an engine and a caller's socket."""

    def __init__(
        self,
        engine: EngineServer,
        owner: Owner,
        stalls: StallLimit,
        write_deadline_s: float = 20.0,
        time_s: float = 20.0,
    ) -> None:
        """Open the engine's stream; nothing is relayed yet."""
        clock = SystemClock()
        self.events = EventRing(HybridClock('a-1/router', clock))
        self.socket, own = connected_pair()
        # As the server's sockets have; a send must not wait for it.
        own.settimeout(10)
        writer = CallerWriter(own, clock, STALL_S, write_deadline_s)
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
        wish = messages.AcquireSlot(
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
            (wish, grant('r1.s1', 'engine')),
        )
        order = RelayStream(
            status=200,
            headers=_HEAD,
            prompt_tokens=1,
            token_limit=1000,
            max_body_bytes=0,
            drain=False,
            deadline=deadline,
        )
        self._relay = Relay(call, caller, clock, order, 0, stream, 65_536)
        self._own = own
        self._done: list[RelayResult] = []
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def result(self) -> RelayResult:
        """Return what the relay saw."""
        self._thread.join(30)
        return self._done[0]

    def read(self) -> bytes:
        """Return all that the caller gets."""
        body = bytearray()
        while piece := self.socket.recv(65_536):
            body.extend(piece)
        self.socket.close()
        return bytes(body)

    def kinds(self) -> list[str]:
        """Return the kinds of the events in order."""
        return [event.kind for event in self.events.since(0)]

    def _run(self) -> None:
        """Relay, then close as the server does."""
        self._done.append(self._relay.run())
        self._own.close()


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
        """Guards against a slot held, or an answer cut, by a slow caller."""
        owner = Owner()
        exchange = Exchange(self.engine, owner, self.stalls)
        self._await_state(State.PAUSED)
        self.assertEqual(owner.released, ['engine'])
        self.assertEqual(self.engine.model.active, 0)
        self.assertEqual(self.stalls.count, 1)
        self.assertEqual(owner.asked, [])
        body = exchange.read()
        relayed = exchange.result()
        self.assertTrue(whole_answer(body, TOKENS), body[-200:])
        self.assertTrue(relayed.complete)
        record = self.engine.model.records['r1']
        self.assertEqual(record.tokens, TOKENS)
        self.assertEqual(
            relayed.tokens,
            record.submission.prompt_tokens + TOKENS,
        )
        self.assertEqual(
            exchange.kinds(),
            ['stream_stalled', 'stream_paused', 'stream_resumed'],
        )
        self.assertEqual(self.stalls.count, 0)

    def test_slot_of_another_target_is_given_back(self) -> None:
        """Guards against a resume on a target that lacks the stream."""
        owner = Owner(('other', '', 'engine'))
        exchange = Exchange(self.engine, owner, self.stalls)
        self._await_state(State.PAUSED)
        body = exchange.read()
        self.assertTrue(whole_answer(body, TOKENS), body[-200:])
        self.assertEqual(owner.released, ['engine', 'other'])
        excluded = [wish.exclude for wish in owner.asked]
        self.assertEqual(excluded, [(), ('other',), ()])

    def test_engine_that_lost_the_stream_is_an_error(self) -> None:
        """Guards against an answer that ends early and counts as whole."""
        self.engine.resumable = False
        exchange = Exchange(self.engine, Owner(), self.stalls)
        self._await_state(State.PAUSED)
        body = exchange.read()
        relayed = exchange.result()
        self.assertFalse(relayed.complete)
        self.assertTrue(relayed.reached_caller)
        self.assertFalse(relayed.caller_gone)
        self.assertNotIn(b'[DONE]', body)
        self.assertEqual(exchange.kinds()[-1], 'resume_failed')

    def test_no_slot_before_the_deadline_is_an_error(self) -> None:
        """Guards against a wait for a slot that never ends."""
        exchange = Exchange(self.engine, Owner(('',)), self.stalls, time_s=2)
        self._await_state(State.PAUSED)
        exchange.read()
        self.assertFalse(exchange.result().complete)
        self._await_state(State.CANCELLED)

    def test_caller_without_progress_is_closed(self) -> None:
        """Guards against a caller that holds memory and a thread forever."""
        exchange = Exchange(self.engine, Owner(), self.stalls, 1.0)
        relayed = exchange.result()
        self.assertTrue(relayed.caller_gone)
        self.assertFalse(relayed.complete)
        self.assertEqual(exchange.kinds()[-1], 'slow_caller_closed')
        self.assertEqual(self.stalls.count, 0)
        self._await_state(State.CANCELLED)
        exchange.socket.close()

    def test_stall_over_the_limit_is_closed(self) -> None:
        """Guards against slow callers that take every worker thread."""
        exchange = Exchange(self.engine, Owner(), StallLimit(0))
        relayed = exchange.result()
        self.assertTrue(relayed.caller_gone)
        self.assertEqual(exchange.kinds(), ['slow_caller_closed'])
        self._await_state(State.CANCELLED)
        exchange.socket.close()

    def test_trickling_caller_is_not_stalled(self) -> None:
        """Guards against a stall seen in a caller that reads slowly."""
        exchange = Exchange(self.engine, Owner(), self.stalls)
        body = bytearray()
        while piece := exchange.socket.recv(16_384):
            body.extend(piece)
            time.sleep(STALL_S / 10)
        self.assertTrue(whole_answer(bytes(body), TOKENS), body[-200:])
        self.assertEqual(exchange.kinds(), [])
        exchange.socket.close()

    def _await_state(self, state: State) -> None:
        """Wait until the engine has the stream in a state."""
        deadline = time.monotonic() + 5
        while self.engine.model.records['r1'].state is not state:
            self.assertLess(time.monotonic(), deadline, state)
            time.sleep(0.01)
        time.sleep(0.1)


class TestSplitter(unittest.TestCase):
    """Cutting a stream behind whole events."""

    def test_only_whole_events_pass(self) -> None:
        """Guards against a resume that repeats the start of an event."""
        chance = random.Random(3)
        for end in (b'\n\n', b'\r\n\r\n'):
            text = b''.join(b'data: %d' % one + end for one in range(50))
            splitter, passed, rest = EventSplitter(), b'', text
            while rest:
                size = chance.randint(1, 30)
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
