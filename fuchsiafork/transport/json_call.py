"""Calls with JSON bodies, to the platform's store and between VMs."""

import asyncio
import dataclasses
import json
from typing import Any

import h11

from fuchsiafork.transport.pool import ConnectionPool, idle_limit_s
from fuchsiafork.transport.target import BrokenAnswerError, TargetConnection

# Seconds that a call has left after each piece of its answer: a large answer
# on a narrow link takes longer than any limit that finds a silent peer.
STALL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class JsonCall:
    """
    A request.

    :ivar body: value to send, None for none.
    """

    method: str
    path: str
    body: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class JsonAnswer:
    """
    An answer.

    :ivar body: decoded value, an empty table if there is no body.
    """

    status: int
    body: Any


async def call_json(
    pool: ConnectionPool,
    address: str,
    call: JsonCall,
    timeout_s: float,
) -> JsonAnswer:
    """
    Return the answer to a call.

    :param timeout_s: seconds to the answer's head, and for all of it unless
        pieces of it keep coming.
    :raises ConnectError: if no byte of it was sent.
    :raises BrokenAnswerError: if no whole answer came in time.
    """
    connection = await pool.take(address, sound=False)
    try:
        async with asyncio.timeout(timeout_s) as limit:
            return await _exchange(connection, address, call, limit)
    except (TimeoutError, ValueError) as error:
        raise BrokenAnswerError(repr(error)) from None
    finally:
        pool.give_back(address, connection)


async def _exchange(
    connection: TargetConnection,
    address: str,
    call: JsonCall,
    limit: asyncio.Timeout,
) -> JsonAnswer:
    """Return the answer to a call that goes out on a connection."""
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
    taken = bytearray()
    event = await connection.next_event()
    while isinstance(event, h11.Data):
        taken += event.data
        _extend(limit)
        event = await connection.next_event()
    told = dict(head.headers).get(b'keep-alive', b'')
    connection.idle_limit_s = idle_limit_s(told.decode('latin-1'))
    return JsonAnswer(head.status_code, json.loads(taken) if taken else {})


def _extend(limit: asyncio.Timeout) -> None:
    """Leave an answer that goes on the time for its next piece."""
    later = asyncio.get_running_loop().time() + STALL_S
    limit.reschedule(max(later, limit.when() or later))
