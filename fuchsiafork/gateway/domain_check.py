"""Tells targets that ended from those behind a partition."""

import asyncio
import random
from typing import Any

from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.transport.client_connection import ConnectError, connect

CONNECT_TIMEOUT_S = 0.3
# Other targets of a failure domain that are connected to.
MAX_CONTROLS = 3
# Time for which the result holds for further targets of the domain.
CHECK_TTL_S = 0.3


class DomainCheck:
    """
    Checks whether a failure domain accepts connections from this VM.

    A partition may refuse connections instead of dropping packets, so that a
    refusal alone doesn't show that the process of a target has ended.
    """

    def __init__(
        self, targets: TargetTable, rng: random.Random, log: Any
    ) -> None:
        """Check the failure domains of some targets."""
        self._targets = targets
        self._rng = rng
        self._log = log
        # Checks by domain, each of which holds for a while.
        self._checks: dict[str, asyncio.Task[bool]] = {}

    async def accepts(self, refusing: Target) -> bool:
        """
        Return whether other targets of a target's domain accept connections.

        :param refusing: target that refuses them.
        :returns: True if there is no other one, as nothing shows a partition
            then.
        """
        domain = refusing.domain
        check = self._checks.get(domain)
        if check is None:
            check = asyncio.create_task(self._check(refusing))
            self._checks[domain] = check
            asyncio.get_running_loop().call_later(
                CHECK_TTL_S, self._checks.pop, domain, None
            )
        return await asyncio.shield(check)

    async def _check(self, refusing: Target) -> bool:
        """Connect to some other targets of a domain; see ``accepts``."""
        addresses = {
            state.target.address
            for state in self._targets.states()
            if state.target.domain == refusing.domain
        }
        addresses.discard(refusing.address)
        if not addresses:
            return True
        controls = sorted(addresses)
        self._rng.shuffle(controls)
        answers = await asyncio.gather(
            *(_accepts(address) for address in controls[:MAX_CONTROLS])
        )
        if not any(answers):
            self._log.info('domain_cut_off', domain=refusing.domain)
        return any(answers)


async def _accepts(address: str) -> bool:
    """Return whether an address accepts a connection."""
    try:
        connection = await connect(address, CONNECT_TIMEOUT_S)
    except ConnectError:
        return False
    connection.close()
    return True


__all__ = ('DomainCheck',)
