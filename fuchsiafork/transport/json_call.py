"""HTTP calls with JSON bodies, to the platform's store and between VMs."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Any

import h11

from fuchsiafork.transport.client_connection import (
    BrokenAnswerError,
    ClientConnection,
)
from fuchsiafork.transport.pool import (
    CONNECT_TIMEOUT_S,
    ConnectionPool,
    idle_limit_s,
)

# Minimum time that a call has left after each part of its answer: a large
# answer on a slow link takes longer than a timeout that detects a peer that
# does not answer.
PART_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16_777_216

# Called with a purpose and the bytes sent and received for it.
CountBytes = Callable[[str, int, int], None]


@dataclasses.dataclass(frozen=True, slots=True)
class JsonCall:
    """
    A request, with a JSON body if any.

    :ivar body: value to encode, None for no body.
    :ivar connect_timeout_s: seconds in which a new connection must open.
    """

    method: str
    path: str
    body: Any = None
    connect_timeout_s: float = CONNECT_TIMEOUT_S


@dataclasses.dataclass(frozen=True, slots=True)
class JsonAnswer:
    """
    An answer, with a JSON body if any.

    :ivar body: decoded value, an empty dict if there is no body.
    :ivar sent_bytes: size of the call's body.
    :ivar received_bytes: size of the answer's body.
    :ivar transfer_s: seconds from the head of the answer to its end.
    :ivar headers: values by name in lower case.
    """

    status: int
    body: Any
    sent_bytes: int = 0
    received_bytes: int = 0
    transfer_s: float = 0.0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


def ignore_bytes(purpose: str, sent: int, received: int) -> None:
    """Do nothing; used if bytes aren't counted."""


async def call_json(
    pool: ConnectionPool,
    address: str,
    call: JsonCall,
    timeout_s: float,
) -> JsonAnswer:
    """
    Make a call and return its answer.

    :param timeout_s: seconds until the head of the answer, and until its end
        unless parts of it keep arriving.
    :raises ConnectError: if no byte of the call was sent.
    :raises BrokenAnswerError: if no complete answer arrived in time.
    """
    connection = await pool.acquire(
        address,
        require_fresh=False,
        connect_timeout_s=call.connect_timeout_s,
    )
    try:
        async with asyncio.timeout(timeout_s) as limit:
            return await _exchange(connection, address, call, limit)
    except (TimeoutError, ValueError, RecursionError) as error:
        raise BrokenAnswerError(repr(error)) from None
    finally:
        pool.release(address, connection)


async def _exchange(
    connection: ClientConnection,
    address: str,
    call: JsonCall,
    limit: asyncio.Timeout,
) -> JsonAnswer:
    """Send a call on a connection and return its answer."""
    payload = b'' if call.body is None else json.dumps(call.body).encode()
    headers = [('host', address)]
    if payload:
        headers += [
            ('content-type', 'application/json'),
            ('content-length', str(len(payload))),
        ]
    connection.send(
        h11.Request(method=call.method, target=call.path, headers=headers),
        payload,
    )
    head = await connection.next_event()
    while isinstance(head, h11.InformationalResponse):
        head = await connection.next_event()
    loop = asyncio.get_running_loop()
    head_at = loop.time()
    content = bytearray()
    event = await connection.next_event()
    while isinstance(event, h11.Data):
        content += event.data
        if len(content) > MAX_ANSWER_BYTES:
            raise BrokenAnswerError('the answer exceeds the size limit')
        _extend(limit)
        event = await connection.next_event()
    keep_alive = dict(head.headers).get(b'keep-alive', b'')
    connection.idle_limit_s = idle_limit_s(keep_alive.decode('latin-1'))
    return JsonAnswer(
        head.status_code,
        json.loads(content) if content else {},
        len(payload),
        len(content),
        loop.time() - head_at,
        {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in head.headers
        },
    )


def _extend(limit: asyncio.Timeout) -> None:
    """Extend the timeout of an answer by the time for its next part."""
    deadline = asyncio.get_running_loop().time() + PART_TIMEOUT_S
    limit.reschedule(max(deadline, limit.when() or deadline))
