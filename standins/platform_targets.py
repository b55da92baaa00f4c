"""Stand-ins of the platform's targets: model engines and plain services."""

import asyncio
import collections
import dataclasses
import time
from collections.abc import Iterable
from typing import Any

from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.loopback import LoopbackService
from standins.raw_connection import RawConnection, encode_response

EVENT_TOKENS = 5
_UNAVAILABLE = 503
# Only this many of the last runs are checked for being in progress.
_RECENT_RUNS = 500


@dataclasses.dataclass(slots=True)
class Behaviour:
    """
    How a target answers requests.

    :ivar status: HTTP status of the answers.
    :ivar not_run: refuse the request without executing it.
    :ivar anonymous: leave out the request's id in a refusal.
    :ivar repeat_refusal: write the refusal once more on the connection when
        the next request arrives there, ahead of its answer.
    :ivar delay_s: seconds before the answer, and between events.
    :ivar events: number of events of a stream, 0 for a plain answer with a
        content length.
    :ivar truncate_after: events of a stream, or bytes of a plain answer,
        after which the connection is aborted; negative for never.
    :ivar truncate_in_event: abort in the middle of an event.
    :ivar crossed_answer_first: send the answer to another request first.
    :ivar omit_seal: leave out the header with the MAC.
    :ivar no_answer: run the request and abort the connection.
    :ivar raw_response: bytes to send in place of any answer.
    :ivar trailing_bytes: bytes to send after a complete answer.
    :ivar rate_limit: limit that each answer names, empty for none.
    :ivar retry_after: pause of the VM that answers 503 request, in seconds;
        empty for none.
    :ivar leaving: announce in each answer that the target is leaving.
    :ivar head_start: bytes to send ahead of each answer.
    :ivar body_bytes: size of a plain answer, 0 for a short text.
    :ivar drip: bytes to send without end in place of the end of a stream.
    """

    status: int = 200
    not_run: bool = False
    anonymous: bool = False
    repeat_refusal: bool = False
    delay_s: float = 0.0
    events: int = 0
    truncate_after: int = -1
    truncate_in_event: bool = False
    crossed_answer_first: bool = False
    omit_seal: bool = False
    no_answer: bool = False
    raw_response: bytes = b''
    trailing_bytes: bytes = b''
    rate_limit: str = ''
    retry_after: str = ''
    leaving: bool = False
    head_start: bytes = b''
    body_bytes: int = 0
    drip: bytes = b''


@dataclasses.dataclass(slots=True)
class Run:
    """
    One execution of a request.

    :ivar events: number of events sent so far.
    :ivar cancelled: whether the caller disconnected before the end.
    """

    request_id: str
    account: str
    headers: dict[str, str]
    body: bytes
    started_at: float
    events: int = 0
    ended: bool = False
    cancelled: bool = False

    @property
    def tokens(self) -> int:
        """Tokens of the prompt and of the events sent."""
        prompt = self.headers.get('x-token-count', '0').partition(',')[0]
        return int(prompt) + self.events * EVENT_TOKENS


class PlatformTarget(LoopbackService):
    """
    One replica that registers under an id.

    :ivar behaviour: behaviour for requests while ``next_behaviours`` is empty.
    :ivar next_behaviours: behaviours of the next requests, one each.
    :ivar runs: executions in order of their start.
    :ivar arrivals: number of requests received, also refused ones.
    :ivar used_connections: connections on which requests were received.
    :ivar max_concurrent_runs: highest number of runs in progress at a time.
    """

    def __init__(self, target_id: str, service: str, domain: str) -> None:
        """Create a target that doesn't listen yet."""
        self.target_id = target_id
        self.behaviour = Behaviour()
        self.next_behaviours: collections.deque[Behaviour] = collections.deque()
        self.runs: list[Run] = []
        self.arrivals = 0
        self.used_connections = 0
        self.max_concurrent_runs = 0
        self._service = service
        self._domain = domain
        super().__init__(self._serve, RawConnection)

    @property
    def entry(self) -> dict[str, Any]:
        """The entry that the target has in the store."""
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

    def share_next_behaviours(self, others: Iterable['PlatformTarget']) -> None:
        """Let the next behaviours go to whichever target is asked next."""
        for other in others:
            other.next_behaviours = self.next_behaviours

    def _next_behaviour(self) -> Behaviour:
        """Return the behaviour for the next request."""
        if self.next_behaviours:
            return self.next_behaviours.popleft()
        return self.behaviour

    async def _serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer a request according to the behaviour."""
        self.arrivals += 1
        behaviour = self._next_behaviour()
        if isinstance(caller, RawConnection):
            self.used_connections += not caller.used
            caller.used = True
            caller.write_late_copy()
            caller.write_raw(behaviour.head_start)
        if request.header('x-expect-instance') not in {'', self.target_id}:
            headers = self._announcements(behaviour, '')
            headers.append(('x-instance-id', self.target_id))
            caller.answer(421, headers, b'')
            return
        if behaviour.not_run:
            self._refuse(request, caller, behaviour)
            return
        run = Run(
            request.header('x-attempt-id'),
            request.header('x-tenant'),
            dict(request.headers),
            request.body,
            time.monotonic(),
        )
        self.runs.append(run)
        runs_in_progress = sum(
            not recent.ended for recent in self.runs[-_RECENT_RUNS:]
        )
        self.max_concurrent_runs = max(
            self.max_concurrent_runs, runs_in_progress
        )
        try:
            await self._answer(request, caller, behaviour, run)
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        finally:
            run.ended = True

    def _announcements(
        self, behaviour: Behaviour, request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers with which a target announces its state."""
        headers = _limit_headers(behaviour)
        if behaviour.leaving:
            headers.append(('server-leaving', '1'))
        if behaviour.retry_after and behaviour.status == _UNAVAILABLE:
            headers.append(('retry-after', behaviour.retry_after))
        return headers

    def _refuse(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        behaviour: Behaviour,
    ) -> None:
        """Refuse a request without running it."""
        request_id = request.header('x-attempt-id')
        headers = [
            ('x-not-executed', '1'),
            *self._announcements(behaviour, request_id),
        ]
        if request_id and not behaviour.anonymous:
            headers.append(('x-attempt-id', request_id))
        caller.answer(behaviour.status, headers, b'')
        if behaviour.repeat_refusal and isinstance(caller, RawConnection):
            caller.late_copy = encode_response(behaviour.status, headers, b'')

    async def _answer(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        behaviour: Behaviour,
        run: Run,
    ) -> None:
        """Send the answer of a run after its delay."""
        await asyncio.sleep(behaviour.delay_s)
        if behaviour.no_answer:
            caller.abort()
            return
        if behaviour.raw_response:
            _write_raw(caller, behaviour.raw_response)
            caller.abort()
            return
        request_id = request.header('x-attempt-id')
        if behaviour.crossed_answer_first:
            _write_raw(caller, _encode_answer('another-request', b'not yours'))
        headers = [
            ('x-attempt-id', request_id),
            *self._announcements(behaviour, request_id),
        ]
        if not behaviour.omit_seal:
            headers.append(('x-response-seal', f'mac-{request_id}'))
        if behaviour.events:
            await self._stream(caller, behaviour, headers, run)
        else:
            _send_with_length(caller, behaviour, headers, request_id)
        if behaviour.trailing_bytes:
            _write_raw(caller, behaviour.trailing_bytes)

    async def _stream(
        self,
        caller: CallerConnection,
        behaviour: Behaviour,
        headers: list[tuple[str, str]],
        run: Run,
    ) -> None:
        """Send events, starting after the last one that the caller received."""
        caller.begin(200, [*headers, ('content-type', 'text/event-stream')])
        first = int(run.headers.get('last-event-id', '0')) + 1
        for number in range(first, behaviour.events + 1):
            if 0 <= behaviour.truncate_after < number:
                if behaviour.truncate_in_event:
                    caller.write(f'id: {number}\ndata: par'.encode())
                caller.abort()
                return
            caller.write(f'id: {number}\ndata: piece-{number}\n\n'.encode())
            run.events += 1
            await asyncio.sleep(behaviour.delay_s)
        while behaviour.drip:
            caller.write(behaviour.drip)
            await asyncio.sleep(behaviour.delay_s)
        caller.finish()


def _limit_headers(behaviour: Behaviour) -> list[tuple[str, str]]:
    """Return the header with the limit, if there is one."""
    limit = behaviour.rate_limit
    return [('server-limit', limit)] if limit else []


def _write_raw(caller: CallerConnection, data: bytes) -> None:
    """Send bytes without HTTP framing."""
    if isinstance(caller, RawConnection):
        caller.write_raw(data)


def _send_with_length(
    caller: CallerConnection,
    behaviour: Behaviour,
    headers: list[tuple[str, str]],
    request_id: str,
) -> None:
    """Send an answer with a content length."""
    body = f'answer to {request_id}'.encode().ljust(behaviour.body_bytes, b'.')
    if behaviour.truncate_after < 0:
        caller.answer(behaviour.status, headers, body)
        return
    length = ('content-length', str(len(body)))
    caller.begin(behaviour.status, [*headers, length])
    caller.write(body[: behaviour.truncate_after])
    caller.abort()


def _encode_answer(request_id: str, body: bytes) -> bytes:
    """Return the bytes of a complete answer to a request."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'x-attempt-id: {request_id}\r\n'
        f'x-response-seal: mac-{request_id}\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
