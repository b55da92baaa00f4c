"""One request sent to one target."""

import dataclasses

import h11

from fuchsiafork.gateway.targets import TargetRow
from fuchsiafork.kernel import Clock
from fuchsiafork.platform import headers as wire
from fuchsiafork.transport.caller import CallerRequest, Headers
from fuchsiafork.transport.pool import ConnectionPool, idle_limit_s
from fuchsiafork.transport.target import BrokenAnswerError, TargetConnection

# Answers to earlier requests that are skipped before the connection is given
# up as out of step.
MOST_FOREIGN = 3
_MISDIRECTED = 421
_SUCCESS = range(200, 300)


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer that belongs to the request."""

    status: int
    headers: Headers
    facts: wire.ResponseMetadata

    @property
    def not_run(self) -> bool:
        """Whether the request has not run and never will."""
        return self.facts.not_run or self.status == _MISDIRECTED

    @property
    def misdirected(self) -> bool:
        """Whether another target has the address now."""
        return self.status == _MISDIRECTED

    @property
    def success(self) -> bool:
        """Whether the target has served the request."""
        return self.status in _SUCCESS


class TargetCall:
    """
    A request on its way to a target.

    :ivar sent: whether the target may have got some of it.
    """

    def __init__(
        self,
        row: TargetRow,
        pool: ConnectionPool,
        clock: Clock,
    ) -> None:
        """Prepare a call to a target."""
        self._clock = clock
        self._began = clock.now()
        self._first_byte = self._began
        self.row = row
        self.sent = False
        self._pool = pool
        self._connection: TargetConnection | None = None
        self._reused = False
        self._answered = False

    @property
    def answered(self) -> bool:
        """Whether any answer has come on the connection."""
        return self._answered

    @property
    def first_byte_s(self) -> float:
        """Seconds until the answer began, so far if it hasn't."""
        if self._answered:
            return self._first_byte - self._began
        return self._clock.now() - self._began

    @property
    def stale(self) -> bool:
        """Whether a kept connection failed before any answer came on it."""
        return self._reused and not self._answered

    async def send(
        self,
        request: CallerRequest,
        headers: Headers,
        *,
        sound: bool,
    ) -> None:
        """
        Send the request.

        :param sound: whether the connection must be known to work.
        :raises ConnectError: if no byte of it was sent.
        :raises BrokenAnswerError: if some may have been sent.
        """
        address = self.row.target.address
        self._connection = await self._pool.take(address, sound=sound)
        self._reused = self._connection.used
        if request.body:
            length = ('content-length', str(len(request.body)))
            headers = [*headers, length]
        self.sent = True
        self._connection.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=headers,
            ),
            request.body,
        )

    async def read_head(self, request_id: str) -> AnswerHead:
        """
        Return the head of the answer to the request with an id.

        :raises BrokenAnswerError: if there is none.
        """
        connection = self._open()
        for _ in range(MOST_FOREIGN):
            event = await connection.next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await connection.next_event()
            self._answered = True
            self._first_byte = self._clock.now()
            pairs = wire.decode_headers(event.headers)
            facts = wire.parse_response_headers(pairs)
            head = AnswerHead(event.status_code, pairs, facts)
            if _belongs(head, request_id):
                connection.idle_limit_s = idle_limit_s(facts.keep_alive)
                return head
            await self._skip(connection)
        raise BrokenAnswerError('answers to other requests only')

    async def read_piece(self) -> bytes:
        """
        Return the next bytes of the body, none at its end.

        :raises BrokenAnswerError: if it ends before it is whole.
        """
        event = await self._open().next_event()
        return event.data if isinstance(event, h11.Data) else b''

    async def read_body(self, limit: int) -> bytes:
        """
        Return the whole body.

        :raises BrokenAnswerError: if it is cut or over the bound.
        """
        body = bytearray()
        piece = await self.read_piece()
        while piece:
            body += piece
            if len(body) > limit:
                raise BrokenAnswerError('the body is over the bound')
            piece = await self.read_piece()
        return bytes(body)

    def end(self) -> None:
        """Keep the connection if the answer came whole, else close it."""
        if self._connection is not None:
            self._pool.give_back(self.row.target.address, self._connection)
            self._connection = None

    def _open(self) -> TargetConnection:
        """Return the connection that the request went out on."""
        if self._connection is None:
            raise BrokenAnswerError('the call was not sent')
        return self._connection

    async def _skip(self, connection: TargetConnection) -> None:
        """Drop an answer to another request."""
        event = await connection.next_event()
        while isinstance(event, h11.Data):
            event = await connection.next_event()
        connection.restart_answer()


def _belongs(head: AnswerHead, request_id: str) -> bool:
    """
    Return whether an answer is one to the request.

    Refusals need not name the request that they refuse.
    """
    named = head.facts.request_id
    return named == request_id or (not named and not head.success)
