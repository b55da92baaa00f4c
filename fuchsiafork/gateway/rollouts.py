"""Carries out the operator's orders to move services to other versions."""

import asyncio
import dataclasses
import json
from collections.abc import Callable
from typing import Annotated, Any

import pydantic

from fuchsiafork.gateway.canary import (
    AnswerCounts,
    Canary,
    CountsByRoute,
    RolloutOrder,
    RouteCounts,
    Verdict,
)
from fuchsiafork.gateway.targets import TargetState
from fuchsiafork.kernel import Clock, FuchsiaforkError
from fuchsiafork.kernel.errors import StoreFormatError
from fuchsiafork.platform.rollouts import (
    encode_status,
    read_order,
    status_key,
)
from fuchsiafork.platform.store import Changes, Item, PlatformStore

RECORD_PREFIX = 'fuchsiafork/rollouts/'
# Interval between two writes of the counts.
SYNC_INTERVAL_S = 0.8
MAX_CONFLICTS = 6

# Answers, failed and slow ones of the new version, then of the old one.
_Counts = Annotated[
    list[Annotated[int, pydantic.Field(ge=0)]],
    pydantic.Field(min_length=6, max_length=6),
]


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """
    Shared record of a canary.

    :ivar counts: counts by process and route.
    """

    verdict: Verdict
    counts: dict[str, dict[str, _Counts]]


_RECORD = pydantic.TypeAdapter(_Record)


class RolloutController:
    """Canaries of all services, with their shared records in the store."""

    def __init__(
        self,
        instance_id: str,
        store: PlatformStore,
        clock: Clock,
        log: Any,
    ) -> None:
        """
        Start without orders.

        :param instance_id: identifies this process in the shared records.
        """
        self._instance_id = instance_id
        self._store = store
        self._clock = clock
        self._log = log
        self._canaries: dict[str, Canary] = {}

    def apply_orders(self, changes: Changes) -> None:
        """Start a canary for each new order among changed store items."""
        for item in changes.items:
            order = read_order(item, changes.era)
            if order is not None:
                self._apply_order(order)

    def _apply_order(self, order: RolloutOrder) -> None:
        """Start a canary for an order unless it has one."""
        current = self._canaries.get(order.service)
        if current is not None and order.repeats(current.order):
            current.continue_order(order)
        elif current is None or order.replaces(current.order):
            self._canaries[order.service] = Canary(order, self._clock.now())
            self._log.info(
                'rollout_ordered',
                service=order.service,
                version=order.version,
                duration_s=order.duration_s,
            )

    def get(self, service: str) -> Canary | None:
        """Return the canary of a service, None if it has none."""
        return self._canaries.get(service)

    def status(self) -> dict[str, dict[str, Any]]:
        """Return the state of each canary for the status page, by service."""
        return {
            service: {
                'version': canary.order.version,
                'verdict': canary.verdict.value,
                'share': canary.traffic_share(),
                'evidence': round(canary.fleet_counts().log_evidence(), 2),
            }
            for service, canary in self._canaries.items()
        }

    def eligible_targets(
        self,
        service: str,
        states: list[TargetState],
        sample: float,
        accepts: Callable[[TargetState], bool],
    ) -> list[TargetState]:
        """
        Return the targets of the version that one request is assigned to.

        Until the verdict, a request goes to the old version while no target
        of the new one accepts it. Afterwards it doesn't, since the targets of
        the old version stop.

        :param states: targets that are not leaving.
        :param sample: random number of the request, from 0 to 1.
        :param accepts: whether a target accepts the request now.
        """
        canary = self._canaries.get(service)
        if canary is not None:
            states = _assigned_targets(canary, states, sample, accepts)
        return [state for state in states if accepts(state)]

    def record_answer(
        self,
        state: TargetState,
        route: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer if the target's service has a canary."""
        canary = self._canaries.get(state.target.service)
        if canary is not None:
            version = state.target.version
            canary.record_answer(route, version, failed=failed, seconds=seconds)

    async def run(self) -> None:
        """Share the counts and the verdicts, periodically."""
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            for canary in tuple(self._canaries.values()):
                if not canary.recorded:
                    await self._sync_counts(canary)

    async def _sync_counts(self, canary: Canary) -> None:
        """Share a canary's counts; without the store, only BAD is decided."""
        try:
            await self._merge_record(canary)
        except FuchsiaforkError as error:
            canary.counts_shared = False
            if canary.decide(self._clock.now()) is Verdict.BAD:
                canary.verdict = Verdict.BAD
            self._log.warning('rollout_unshared', reason=str(error))
        else:
            canary.counts_shared = True

    async def _merge_record(self, canary: Canary) -> None:
        """
        Merge the counts and the verdict into the shared record.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        item = await self._store.read(_record_key(canary))
        for _ in range(MAX_CONFLICTS):
            if _load_record(canary, item, self._instance_id):
                canary.recorded = True
                return
            verdict = canary.verdict
            if verdict is Verdict.NONE:
                verdict = canary.decide(self._clock.now())
            swap = await self._store.swap(
                item.key,
                item.revision,
                _encode_record(canary, self._instance_id, verdict),
                {
                    status_key(canary.order): encode_status(
                        canary.order, verdict
                    )
                },
            )
            if swap.revision:
                self._apply_stored_verdict(canary, verdict)
                return
            item = await self._store.read(item.key)

    def _apply_stored_verdict(self, canary: Canary, verdict: Verdict) -> None:
        """Apply a verdict after it was stored."""
        canary.verdict = verdict
        canary.recorded = verdict is not Verdict.NONE
        if canary.recorded:
            fleet_counts = canary.fleet_counts()
            self._log.info(
                'rollout_decided',
                service=canary.order.service,
                version=canary.order.version,
                verdict=verdict.value,
                evidence=round(fleet_counts.log_evidence(), 2),
                seen=fleet_counts.total.new.answers,
                failed=fleet_counts.total.new.failed,
                slow=fleet_counts.total.new.slow,
            )


def _assigned_targets(
    canary: Canary,
    states: list[TargetState],
    sample: float,
    accepts: Callable[[TargetState], bool],
) -> list[TargetState]:
    """Return the targets of the version that a request is assigned to."""
    version = canary.order.version
    new = [state for state in states if state.target.version == version]
    old = [state for state in states if state.target.version != version]
    if canary.verdict is Verdict.BAD:
        return old
    if canary.verdict is Verdict.GOOD:
        return new or old
    if sample < canary.traffic_share() and any(map(accepts, new)):
        return new
    return old


def _record_key(canary: Canary) -> str:
    """Return the store key of a canary's shared record."""
    order = canary.order
    return f'{RECORD_PREFIX}{order.service}/{order.revision}'


def _load_record(canary: Canary, item: Item, instance_id: str) -> bool:
    """
    Load peers' counts and verdict; return whether there is a verdict.

    :raises StoreFormatError: if the record is malformed.
    """
    if not item.value:
        return False
    record = decode_record(item)
    canary.peer_counts = {
        name: _decode_counts(table)
        for name, table in record.counts.items()
        if name != instance_id
    }
    if record.verdict is Verdict.NONE:
        return False
    canary.verdict = record.verdict
    return True


def decode_record(item: Item) -> _Record:
    """
    Return a canary's shared record.

    :raises StoreFormatError: if it is malformed.
    """
    try:
        return _RECORD.validate_json(item.value or b'')
    except pydantic.ValidationError as error:
        raise StoreFormatError(f'{item.key}: {error!r}') from None


def _encode_record(canary: Canary, instance_id: str, verdict: Verdict) -> bytes:
    """Return the shared record of a canary, encoded."""
    tables = {**canary.peer_counts, instance_id: canary.local_counts}
    counts = {name: _encode_counts(table) for name, table in tables.items()}
    record = {'verdict': verdict.value, 'counts': counts}
    return json.dumps(record, separators=(',', ':')).encode()


def _encode_counts(table: CountsByRoute) -> dict[str, list[int]]:
    """Encode counts by route for the store."""
    return {
        route: [
            *(counts.new.answers, counts.new.failed, counts.new.slow),
            *(counts.old.answers, counts.old.failed, counts.old.slow),
        ]
        for route, counts in table.items()
    }


def _decode_counts(stored: dict[str, list[int]]) -> CountsByRoute:
    """Decode counts by route from the store."""
    return {
        route: RouteCounts(AnswerCounts(*values[:3]), AnswerCounts(*values[3:]))
        for route, values in stored.items()
    }
