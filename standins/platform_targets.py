"""Stand-in of the platform's replicas: engines and plain services."""

import asyncio
import collections
import dataclasses
import time
from typing import Any

from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.loopback import LoopbackService

EVENT_TOKENS = 5
# Runs that may still be open when another one begins.
_RECENT = 500


@dataclasses.dataclass(slots=True)
class Behaviour:
    """
    What a target does with its next requests.

    :ivar status: of its answers.
    :ivar not_run: refuse without running.
    :ivar pause_s: seconds before the answer, and between events.
    :ivar events: events of a stream, 0 for an answer with a length.
    :ivar break_after: events, or bytes, after which the answer breaks off.
    :ivar break_in_event: break off in the middle of an event.
    :ivar foreign: send the answer to another request first.
    :ivar unsealed: leave the MAC out.
    :ivar raw: bytes to send in place of any answer.
    :ivar extra: bytes to send after a whole answer.
    """

    status: int = 200
    not_run: bool = False
    pause_s: float = 0.0
    events: int = 0
    break_after: int = -1
    break_in_event: bool = False
    foreign: bool = False
    unsealed: bool = False
    raw: bytes = b''
    extra: bytes = b''


class RawConnection(CallerConnection):
    """A connection on which faulty answers can be sent."""

    def write_raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        if self._transport is not None:
            self._transport.write(data)


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a target has begun to work on."""

    request_id: str
    account: str
    headers: dict[str, str]
    body: bytes
    started: float
    events: int = 0
    ended: bool = False
    left: bool = False

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and of the events that were sent."""
        prompt = self.headers.get('x-token-count', '0').partition(',')[0]
        return int(prompt) + self.events * EVENT_TOKENS


class PlatformTarget(LoopbackService):
    """
    One replica that registers under an id.

    :ivar runs: what it has run, in order.
    :ivar most_at_once: most runs that were open at one time.
    """

    def __init__(self, target_id: str, service: str, domain: str) -> None:
        """Prepare a replica."""
        self.target_id = target_id
        self.behaviour = Behaviour()
        self.once: collections.deque[Behaviour] = collections.deque()
        self.runs: list[Run] = []
        self.arrivals = 0
        self.most_at_once = 0
        self._service = service
        self._domain = domain
        super().__init__(self._serve, RawConnection)

    @property
    def entry(self) -> dict[str, Any]:
        """What it writes into the store."""
        return {
            'service': self._service,
            'address': self.address,
            'zone': self._domain,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'seq': 1,
        }

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self.server.shared.connections)

    async def _serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer a request as the behaviour says."""
        self.arrivals += 1
        does = self.once.popleft() if self.once else self.behaviour
        if request.header('x-expect-instance') not in {'', self.target_id}:
            caller.answer(421, [('x-instance-id', self.target_id)], b'')
            return
        if does.not_run:
            caller.answer(does.status, [('x-not-executed', '1')], b'')
            return
        run = Run(
            request.header('x-attempt-id'),
            request.header('x-tenant'),
            dict(request.headers),
            request.body,
            time.monotonic(),
        )
        self.runs.append(run)
        open_runs = sum(not one.ended for one in self.runs[-_RECENT:])
        self.most_at_once = max(self.most_at_once, open_runs)
        try:
            await self._answer(request, caller, does, run)
        except asyncio.CancelledError:
            run.left = True
            raise
        finally:
            run.ended = True

    async def _answer(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        does: Behaviour,
        run: Run,
    ) -> None:
        """Send the answer."""
        await asyncio.sleep(does.pause_s)
        if does.raw:
            _write_raw(caller, does.raw)
            caller.abort()
            return
        request_id = request.header('x-attempt-id')
        if does.foreign:
            _write_raw(caller, _whole_answer('another-request', b'not yours'))
        headers = [('x-attempt-id', request_id)]
        if not does.unsealed:
            headers.append(('x-response-seal', f'mac-{request_id}'))
        if does.events:
            await self._stream(caller, does, headers, run)
        else:
            _send_whole(caller, does, headers, request_id)
        if does.extra:
            _write_raw(caller, does.extra)

    async def _stream(
        self,
        caller: CallerConnection,
        does: Behaviour,
        headers: list[tuple[str, str]],
        run: Run,
    ) -> None:
        """Send events, from the one after that which the caller has."""
        caller.begin(200, [*headers, ('content-type', 'text/event-stream')])
        first = int(run.headers.get('last-event-id', '0')) + 1
        for number in range(first, does.events + 1):
            if 0 <= does.break_after < number:
                if does.break_in_event:
                    caller.write(f'id: {number}\ndata: par'.encode())
                caller.abort()
                return
            caller.write(f'id: {number}\ndata: piece-{number}\n\n'.encode())
            run.events += 1
            await asyncio.sleep(does.pause_s)
        caller.finish()


def _write_raw(caller: CallerConnection, data: bytes) -> None:
    """Send bytes as they are."""
    if isinstance(caller, RawConnection):
        caller.write_raw(data)


def _send_whole(
    caller: CallerConnection,
    does: Behaviour,
    headers: list[tuple[str, str]],
    request_id: str,
) -> None:
    """Send an answer with a length."""
    body = f'answer to {request_id}'.encode()
    if does.break_after < 0:
        caller.answer(does.status, headers, body)
        return
    length = ('content-length', str(len(body)))
    caller.begin(does.status, [*headers, length])
    caller.write(body[: does.break_after])
    caller.abort()


def _whole_answer(request_id: str, body: bytes) -> bytes:
    """Return the bytes of a whole answer to a request."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'x-attempt-id: {request_id}\r\n'
        f'x-response-seal: mac-{request_id}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
