"""Keeps the requests of the whole fleet within the limits of targets."""

import asyncio
import dataclasses
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.peers import Peers, PeerSilentError
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.platform.headers import ResponseMetadata
from fuchsiafork.prepaid import HolderSlots
from fuchsiafork.target_limits import (
    Decision,
    LimitChange,
    NamedLimit,
    NamedLimits,
    Permit,
    PermitIssuer,
    PermitRequest,
    read_permit,
    read_request,
)

PERMIT_PATH = '/permits'
# VMs that are asked for one permit, while the first ones don't answer.
MAX_ISSUERS_ASKED = 3
# Time for which a target is left out if no VM could decide.
UNKNOWN_WAIT_S = 0.5
# Shortest time for which a target is left out after a refusal.
MIN_WAIT_S = 0.05


class TargetLimits:
    """Follows the limits of targets, and obtains permits for requests."""

    def __init__(
        self,
        own_address: str,
        slots: HolderSlots,
        peers: Peers,
        targets: TargetTable,
        clock: Clock,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """
        Start without limits.

        :param own_address: address of this VM for calls from others, IP:PORT.
        :param slots: VMs that may issue permits.
        """
        self._own_address = own_address
        self._slots = slots
        self._peers = peers
        self._targets = targets
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._named = NamedLimits()
        self._issuer = PermitIssuer()
        # End of the wait by lifetime and priority, seconds.
        self._blocked_until: dict[tuple[str, int], float] = {}
        self._reports: set[asyncio.Task[None]] = set()
        peers.register(PERMIT_PATH, self._issue_for_peer)

    def record_answer(self, target: Target, metadata: ResponseMetadata) -> None:
        """Record what the head of an answer says of its target's limit."""
        if metadata.invalid_rate_limit:
            self._log.warning(
                'limit_invalid',
                target=target.target_id,
                value=repr(metadata.invalid_rate_limit),
            )
            return
        lifetime, rate = target.lifetime, metadata.rate_limit
        now = self._clock.now()
        change = self._named.record_answer(lifetime, rate, now)
        if change is LimitChange.NONE:
            return
        self._log.warning(f'limit_{change.value}', target=lifetime, rate=rate)
        self._update_metrics()
        if change is LimitChange.ENDED:
            self._unblock(lifetime)
            task = asyncio.create_task(self._report_end(lifetime))
            self._reports.add(task)
            task.add_done_callback(self._reports.discard)

    def forget_gone(self) -> None:
        """Forget the limits of targets that are gone."""
        if not self._named:
            self._blocked_until.clear()
            return
        states = self._targets.states()
        self._named.retain({state.target.lifetime for state in states})
        self._update_metrics()

    def wait_s(self, target: Target, priority: int) -> float:
        """Return the seconds until a permit for a target may be asked for."""
        if not self._named:
            return 0.0
        until = self._blocked_until.get((target.lifetime, priority), 0.0)
        return max(0.0, until - self._clock.now())

    async def acquire(self, target: Target, priority: int) -> bool:
        """Return whether a request may be sent to a target now."""
        limit = self._named.get(target.lifetime)
        if limit is None:
            return True
        permit = await self._ask(target.lifetime, limit, priority)
        self._metrics.permits.labels(permit.decision.value).inc()
        if permit.decision is Decision.GRANTED:
            return True
        if permit.decision is Decision.UNLIMITED:
            self._named.end(target.lifetime, limit)
            self._unblock(target.lifetime)
            self._update_metrics()
            return True
        wait_s = max(MIN_WAIT_S, permit.wait_s)
        key = (target.lifetime, priority)
        self._blocked_until[key] = self._clock.now() + wait_s
        return False

    async def _ask(
        self, lifetime: str, limit: NamedLimit, priority: int
    ) -> Permit:
        """Return the decision of the VM that issues a target's permits."""
        for address in self._issuers(lifetime):
            age_s = max(0.0, self._clock.now() - limit.named_at)
            request = PermitRequest(lifetime, limit.rate, age_s, priority)
            if address == self._own_address:
                return self._issue(request)
            try:
                return read_permit(await self._call(address, request))
            except (PeerSilentError, ValueError) as error:
                self._log.info(
                    'permit_unknown', issuer=address, reason=str(error)
                )
        return Permit(Decision.REFUSED, UNKNOWN_WAIT_S)

    async def _report_end(self, lifetime: str) -> None:
        """Report the end of a limit to the VMs that may issue its permits."""
        request = PermitRequest(lifetime, None)
        for address in self._issuers(lifetime):
            if address == self._own_address:
                self._issue(request)
                continue
            try:
                await self._call(address, request)
            except PeerSilentError as error:
                self._log.info(
                    'limit_end_unreported', issuer=address, reason=str(error)
                )

    def _issuers(self, lifetime: str) -> list[str]:
        """Return the VMs to ask, the same ones in the same order on all VMs."""
        addresses = [
            address
            for address in self._slots.ranked_addresses(lifetime)
            if not self._peers.is_silent(address)
        ]
        return addresses[:MAX_ISSUERS_ASKED] or [self._own_address]

    async def _call(self, address: str, request: PermitRequest) -> Any:
        """
        Send a request to another VM and return its answer.

        :raises PeerSilentError: if it doesn't answer in time.
        """
        body = dataclasses.asdict(request)
        return await self._peers.call(address, PERMIT_PATH, body)

    def _issue_for_peer(self, content: Any) -> Any:
        """Handle a request of another VM."""
        permit = self._issue(read_request(content))
        return {
            'decision': permit.decision.value,
            'wait_s': round(permit.wait_s, 3),
        }

    def _issue(self, request: PermitRequest) -> Permit:
        """Decide on a request as the VM that issues the permits."""
        now = self._clock.now()
        if request.rate is None:
            self._issuer.end(request.lifetime, now)
            return Permit(Decision.UNLIMITED)
        return self._issuer.request(
            request.lifetime,
            request.rate,
            now - request.age_s,
            request.priority,
            now,
        )

    def _unblock(self, lifetime: str) -> None:
        """Stop waiting for permits of a target."""
        for key in tuple(self._blocked_until):
            if key[0] == lifetime:
                self._blocked_until.pop(key)

    def _update_metrics(self) -> None:
        """Show the number of limited targets."""
        self._metrics.limited_targets.set(len(self._named))


__all__ = ('TargetLimits',)
