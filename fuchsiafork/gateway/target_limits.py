"""Keeps the requests of the whole fleet within the limits of targets."""

import asyncio
import dataclasses
from typing import Any

from fuchsiafork.gateway.fleet_limits import FleetLimits
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.peers import PeerSilentError
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.platform.headers import ResponseMetadata
from fuchsiafork.target_limits import (
    Decision,
    LimitChange,
    NamedLimit,
    NamedLimits,
    Permit,
    PermitIssuer,
    PermitRequest,
    encode_permit,
    read_permit,
    read_request,
)

PERMIT_PATH = '/permits'
# Time for which a target is left out if no VM could decide.
UNKNOWN_WAIT_S = 0.5
# Shortest time for which a target is left out after a refusal.
MIN_WAIT_S = 0.05


class TargetLimits:
    """Follows the limits of targets, and obtains permits for requests."""

    def __init__(
        self,
        fleet: FleetLimits,
        targets: TargetTable,
        clock: Clock,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """Start without limits."""
        self._fleet = fleet
        self._targets = targets
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._named = NamedLimits()
        self._issuer = PermitIssuer()
        # End of the wait by lifetime and priority, seconds.
        self._blocked_until: dict[tuple[str, int], float] = {}
        self._reports: set[asyncio.Task[None]] = set()
        fleet.register(PERMIT_PATH, self._issue)

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
        event = 'limit_ended' if rate is None else 'limit_named'
        self._log.warning(event, target=lifetime, rate=rate)
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
        age_s = max(0.0, self._clock.now() - limit.named_at)
        request = PermitRequest(lifetime, limit.rate, age_s, priority)
        content = dataclasses.asdict(request)
        answer = await self._fleet.call(lifetime, PERMIT_PATH, content)
        try:
            return read_permit(answer)
        except ValueError as error:
            self._log.info(
                'permit_unknown', target=lifetime, reason=repr(str(error))
            )
            return Permit(Decision.REFUSED, UNKNOWN_WAIT_S)

    async def _report_end(self, lifetime: str) -> None:
        """Report the end of a limit to the VMs that may issue its permits."""
        content = dataclasses.asdict(PermitRequest(lifetime, None))
        for address in self._fleet.addresses(lifetime):
            try:
                await self._fleet.call_vm(address, PERMIT_PATH, content)
            except PeerSilentError as error:
                self._log.info(
                    'limit_end_unreported', issuer=address, reason=str(error)
                )

    async def _issue(self, content: Any) -> Any:
        """
        Handle a request of any VM as the one that issues the permits.

        :raises ValueError: if it is invalid.
        """
        request = read_request(content)
        now = self._clock.now()
        if request.rate is None:
            self._issuer.end(request.lifetime, now)
            return encode_permit(Permit(Decision.UNLIMITED))
        named_at = now - request.age_s
        return encode_permit(
            self._issuer.request(
                request.lifetime, request.rate, named_at, request.priority, now
            )
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
