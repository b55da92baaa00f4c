"""One request sent to one target."""

import dataclasses
from typing import Any

import h11

from fuchsiafork.availability import Status
from fuchsiafork.gateway.targets import TargetState
from fuchsiafork.kernel import Clock
from fuchsiafork.platform import headers as wire
from fuchsiafork.transport.caller import CallerRequest, Headers
from fuchsiafork.transport.client_connection import (
    BrokenAnswerError,
    ClientConnection,
    ConnectError,
)
from fuchsiafork.transport.header_encoding import encode_headers
from fuchsiafork.transport.pool import ConnectionPool, idle_limit_s

# Number of answers read; if all of them are to other requests, the connection
# is out of sync and is given up.
MAX_MISMATCHED_ANSWERS = 3
# Informational answers read before the head of an answer.
MAX_INFORMATIONAL_ANSWERS = 8
_MISDIRECTED = 421
_SUCCESS = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer that belongs to the request."""

    status: int
    headers: Headers
    metadata: wire.ResponseMetadata

    @property
    def not_run(self) -> bool:
        """Whether the target states that it never runs the request."""
        return self.metadata.not_run or self.status == _MISDIRECTED

    @property
    def misdirected(self) -> bool:
        """Whether the address now belongs to another target."""
        return self.status == _MISDIRECTED

    @property
    def success(self) -> bool:
        """Whether the status is 2xx."""
        return self.status in _SUCCESS


class TargetWithdrawnError(Exception):
    """
    The target stopped accepting requests before this one was sent.

    :ivar status: its state.
    """

    def __init__(self, status: Status) -> None:
        """Keep the state."""
        super().__init__(f'the target is {status.availability.value}')
        self.status = status


class TargetCall:
    """
    One HTTP exchange with a target.

    :ivar sent: whether the target may have received part of the request.
    :ivar skipped_answers: answers that belonged to no request or to another.
    """

    def __init__(
        self,
        state: TargetState,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        """Prepare a call; the connection is opened by send()."""
        self._clock = clock
        self._started_at = clock.now()
        self._first_byte_at = self._started_at
        self.state = state
        self.sent = False
        self.skipped_answers = 0
        self._pool = pool
        self._connection: ClientConnection | None = None
        self._reused = False
        self._answered = False
        self._discarding = False
        # Whether an informational answer announced that the target is leaving.
        self._announced_leaving = False

    @property
    def answered(self) -> bool:
        """Whether the head of any answer was received."""
        return self._answered

    @property
    def time_to_first_byte_s(self) -> float:
        """Seconds until the answer began, or elapsed if it hasn't."""
        if self._answered:
            return self._first_byte_at - self._started_at
        return self._clock.now() - self._started_at

    @property
    def stale_connection(self) -> bool:
        """Whether a reused connection has yielded no answer to this call."""
        return self._reused and not self._answered

    async def send(
        self,
        request: CallerRequest,
        request_id: str,
        headers: Headers,
        *,
        require_fresh: bool,
    ) -> None:
        """
        Send the request.

        :param request_id: its id, empty if it has none.
        :param require_fresh: whether the connection must be new or have
            answered recently.
        :raises ConnectError: if no byte of it was sent.
        :raises TargetWithdrawnError: if the target accepts no more requests.
        :raises BrokenAnswerError: if part of it may have been sent.
        """
        address = self.state.target.address
        known_id = '' if self.state.omits_request_ids else request_id
        self._connection = await self._pool.acquire_for(
            address, known_id, require_fresh=require_fresh
        )
        if not self._connection.open:
            raise ConnectError(f'{address} closed the new connection')
        self._require_accepting()
        self._reused = self._connection.used
        if request.body:
            length = ('content-length', str(len(request.body)))
            headers = [*headers, length]
        self.sent = True
        self.state.availability.on_request(self._clock.now())
        self._connection.send(
            h11.Request(
                method=request.method,
                target=request.target.encode('latin-1'),
                headers=encode_headers(headers),
            ),
            request.body,
        )

    async def read_head(self, request_id: str) -> AnswerHead:
        """
        Return the head of the answer to the given request.

        May be called again after a timeout.

        :raises BrokenAnswerError: if no such answer is received.
        """
        connection = self._require_connection()
        if self._discarding:
            await self._discard_answer(connection)
        while self.skipped_answers < MAX_MISMATCHED_ANSWERS:
            event = await self._next_final_head(connection)
            self._answered = True
            self._first_byte_at = self._clock.now()
            pairs = wire.decode_headers(event.headers)
            metadata = wire.parse_response_headers(pairs, event.status_code)
            if self._announced_leaving:
                metadata = dataclasses.replace(metadata, leaving=True)
            head = AnswerHead(event.status_code, pairs, metadata)
            if self._matches_request(head, request_id):
                connection.idle_limit_s = idle_limit_s(metadata.keep_alive)
                return head
            self.skipped_answers += 1
            await self._discard_answer(connection)
        raise BrokenAnswerError('received only answers to other requests')

    async def read_chunk(self) -> bytes:
        """
        Return the next bytes of the body, empty at its end.

        :raises BrokenAnswerError: if the body is incomplete.
        """
        event = await self._require_connection().next_event()
        return event.data if isinstance(event, h11.Data) else b''

    def release(self) -> None:
        """Return the connection to the pool, which closes unusable ones."""
        if self._connection is not None:
            self._pool.release(self.state.target.address, self._connection)
            self._connection = None

    def _require_accepting(self) -> None:
        """
        Check that the target still accepts requests.

        :raises TargetWithdrawnError: if it doesn't.
        """
        status = self.state.availability.status(self._clock.now())
        if not status.accepting:
            raise TargetWithdrawnError(status)

    def _require_connection(self) -> ClientConnection:
        """Return the connection on which the request was sent."""
        if self._connection is None:
            raise BrokenAnswerError('the request was not sent')
        return self._connection

    def _matches_request(self, head: AnswerHead, request_id: str) -> bool:
        """
        Return whether an answer belongs to the request.

        An error may lack the request id. It is believed only as the first
        answer on a connection: later it can be the copy of an earlier one.
        """
        answered_id = head.metadata.request_id
        if answered_id or not request_id:
            return answered_id == request_id
        self.state.omits_request_ids = True
        first = not self._reused and not self.skipped_answers
        return first and not head.success

    async def _discard_answer(self, connection: ClientConnection) -> None:
        """Read and discard the rest of an answer to another request."""
        self._discarding = True
        event = await connection.next_event()
        while isinstance(event, h11.Data):
            event = await connection.next_event()
        self._discarding = False
        connection.restart_answer()

    async def _next_final_head(self, connection: ClientConnection) -> Any:
        """
        Return the next head of an answer that is not informational.

        :raises BrokenAnswerError: if there are too many informational ones.
        """
        for _ in range(MAX_INFORMATIONAL_ANSWERS + 1):
            event = await connection.next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
            pairs = wire.decode_headers(event.headers)
            if wire.parse_response_headers(pairs).leaving:
                self._announced_leaving = True
        raise BrokenAnswerError('too many informational answers')
