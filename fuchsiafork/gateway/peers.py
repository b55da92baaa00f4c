"""Token and clock requests between the VMs of the fleet."""

import json
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid import TokenAllocator
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from fuchsiafork.transport.client_connection import (
    BrokenAnswerError,
    ConnectError,
)
from fuchsiafork.transport.json_call import (
    CountBytes,
    JsonCall,
    call_json,
    ignore_bytes,
)
from fuchsiafork.transport.pool import ConnectionPool

TOKENS_PATH = '/tokens'
CLOCK_PATH = '/clock'
# A VM that takes longer to answer a token request is skipped: a longer wait
# isn't worthwhile.
TOKENS_TIMEOUT_S = 0.15
# How long a VM that didn't answer is not asked again.
BACKOFF_S = 2.0
# A longer round trip makes the clock measurement too inaccurate.
CLOCK_TIMEOUT_S = 0.1

_OK = 200


class Peers:
    """Sends requests to other VMs and handles theirs."""

    def __init__(
        self,
        allocator: TokenAllocator,
        pool: ConnectionPool,
        clock: Clock,
        log: Any,
        count_bytes: CountBytes = ignore_bytes,
    ) -> None:
        """Transfer tokens out of an allocator."""
        self._allocator = allocator
        self._pool = pool
        self._clock = clock
        self._count_bytes = count_bytes
        self._backoff_until: dict[str, float] = {}
        self._log = log

    async def request_tokens(
        self, address: str, account: str, tokens: int
    ) -> int:
        """Request tokens from another VM and return how many it transferred."""
        now = self._clock.now()
        if now < self._backoff_until.get(address, now):
            return 0
        call = JsonCall('POST', TOKENS_PATH, [account, tokens])
        try:
            answer = await call_json(
                self._pool,
                address,
                call,
                TOKENS_TIMEOUT_S,
            )
        except (BrokenAnswerError, ConnectError) as error:
            self._log.warning('peer_silent', peer=address, reason=str(error))
            self._backoff_until[address] = now + BACKOFF_S
            return 0
        self._count_bytes('peers', answer.sent_bytes, answer.received_bytes)
        transferred = answer.body if answer.status == _OK else 0
        return transferred if isinstance(transferred, int) else 0

    async def measure_clock_offset(self, address: str) -> float | None:
        """
        Measure another VM's wall clock minus this VM's monotonic clock.

        :return: seconds, None if the VM doesn't answer in time.
        """
        started_at = self._clock.now()
        try:
            answer = await call_json(
                self._pool,
                address,
                JsonCall('GET', CLOCK_PATH),
                CLOCK_TIMEOUT_S,
            )
        except (BrokenAnswerError, ConnectError):
            return None
        ended_at = self._clock.now()
        valid = answer.status == _OK and isinstance(answer.body, float)
        if not valid or ended_at - started_at > CLOCK_TIMEOUT_S:
            return None
        return answer.body - (started_at + ended_at) / 2

    async def handle_request(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Handle a token or clock request of another VM."""
        if request.target == CLOCK_PATH:
            wall = json.dumps(self._clock.wall())
            caller.answer(_OK, [], wall.encode())
            return
        try:
            account, tokens = json.loads(request.body)
        except (ValueError, TypeError) as error:
            self._log.warning('peer_unreadable', reason=repr(error))
            caller.answer(400, [], b'')
            return
        transferred = self._allocator.transfer_out(str(account), int(tokens))
        self._log.info('tokens_given', account=account, tokens=transferred)
        caller.answer(200, [], str(transferred).encode())
