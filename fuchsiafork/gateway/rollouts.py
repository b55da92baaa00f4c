"""Carries out the operator's orders to move services to other versions."""

import asyncio
import json
from typing import Any

from fuchsiafork.gateway.canary import (
    Counts,
    RouteCounts,
    Table,
    Trial,
    Verdict,
)
from fuchsiafork.gateway.targets import TargetRow
from fuchsiafork.kernel import Clock, FuchsiaforkError
from fuchsiafork.platform.rollouts import (
    encode_status,
    read_order,
    status_key,
)
from fuchsiafork.platform.store import Changes, Item, PlatformStore

RECORD_PREFIX = 'fuchsiafork/rollouts/'
# Seconds between two writes of the counts.
SYNC_S = 0.8
MOST_CONFLICTS = 6


class Rollouts:
    """Trials of all services, and their records in the store."""

    def __init__(
        self,
        holder: str,
        store: PlatformStore,
        clock: Clock,
        log: Any,
    ) -> None:
        """Start without orders."""
        self._holder = holder
        self._store = store
        self._clock = clock
        self._log = log
        self._trials: dict[str, Trial] = {}

    def take(self, changes: Changes) -> None:
        """Take over the orders among some items."""
        for item in changes.items:
            order = read_order(item)
            if order is None:
                continue
            known = self._trials.get(order.service)
            if known is None or known.order.revision < order.revision:
                self._trials[order.service] = Trial(order, self._clock.now())
                self._log.info(
                    'rollout_ordered',
                    service=order.service,
                    version=order.version,
                    duration_s=order.duration_s,
                )

    def get(self, service: str) -> Trial | None:
        """Return the trial of a service."""
        return self._trials.get(service)

    def states(self) -> dict[str, dict[str, Any]]:
        """Return what operators want to know of each trial, by service."""
        return {
            service: {
                'version': trial.order.version,
                'verdict': trial.verdict.value,
                'share': trial.share(),
                'evidence': round(trial.sums().log_evidence(), 2),
            }
            for service, trial in self._trials.items()
        }

    def select(
        self,
        service: str,
        rows: list[TargetRow],
        chance: float,
    ) -> list[TargetRow]:
        """
        Return the targets that one request may go to.

        :param chance: random number of the request, from 0 to 1.
        """
        trial = self._trials.get(service)
        if trial is None:
            return rows
        version = trial.order.version
        new = [row for row in rows if row.target.version == version]
        old = [row for row in rows if row.target.version != version]
        if trial.verdict is Verdict.BAD:
            return old
        if trial.verdict is Verdict.GOOD:
            return new or old
        return new if chance < trial.share() and new else old

    def note(
        self,
        row: TargetRow,
        route: str,
        *,
        failed: bool,
        seconds: float,
    ) -> None:
        """Count an answer of a target whose service has a trial."""
        trial = self._trials.get(row.target.service)
        if trial is not None:
            version = row.target.version
            trial.note(route, version, failed=failed, seconds=seconds)

    async def run(self) -> None:
        """Share the counts and decide, as long as the process runs."""
        while True:
            await asyncio.sleep(SYNC_S)
            for trial in tuple(self._trials.values()):
                if trial.verdict is Verdict.NONE:
                    await self._sync(trial)

    async def _sync(self, trial: Trial) -> None:
        """Share the counts of a trial; alone, condemn by the own ones."""
        try:
            await self._write(trial)
        except FuchsiaforkError as error:
            trial.shared = False
            if trial.decide(self._clock.now()) is Verdict.BAD:
                trial.verdict = Verdict.BAD
            self._log.warning('rollout_unshared', reason=str(error))
        else:
            trial.shared = True

    async def _write(self, trial: Trial) -> None:
        """
        Merge the counts into the record, with a verdict if there is one.

        :raises StoreUnavailableError: if the store doesn't answer.
        """
        item = await self._store.read(_record_key(trial))
        for _ in range(MOST_CONFLICTS):
            if _learn(trial, item, self._holder):
                return
            verdict = trial.decide(self._clock.now())
            swap = await self._store.swap(
                item.key,
                item.revision,
                _encode(trial, self._holder, verdict),
                {status_key(trial.order): encode_status(trial.order, verdict)},
            )
            if swap.revision:
                self._set_verdict(trial, verdict)
                return
            item = await self._store.read(item.key)

    def _set_verdict(self, trial: Trial, verdict: Verdict) -> None:
        """Take over a verdict that was stored."""
        trial.verdict = verdict
        if verdict is not Verdict.NONE:
            sums = trial.sums()
            self._log.info(
                'rollout_decided',
                service=trial.order.service,
                version=trial.order.version,
                verdict=verdict.value,
                evidence=round(sums.log_evidence(), 2),
                seen=sums.total.new.seen,
                failed=sums.total.new.failed,
                slow=sums.total.new.slow,
            )


def _record_key(trial: Trial) -> str:
    """Return the key of a trial's record."""
    order = trial.order
    return f'{RECORD_PREFIX}{order.service}/{order.revision}'


def _learn(trial: Trial, item: Item, holder: str) -> bool:
    """Return whether others have decided; take over their counts."""
    if not item.value:
        return False
    stored = json.loads(item.value)
    trial.others = {
        name: _decode_table(table)
        for name, table in stored['counts'].items()
        if name != holder
    }
    trial.verdict = Verdict(stored['verdict'])
    return trial.verdict is not Verdict.NONE


def _encode(trial: Trial, holder: str, verdict: Verdict) -> bytes:
    """Return the record of a trial."""
    tables = {**trial.others, holder: trial.own}
    counts = {name: _encode_table(table) for name, table in tables.items()}
    record = {'verdict': verdict.value, 'counts': counts}
    return json.dumps(record, separators=(',', ':')).encode()


def _encode_table(table: Table) -> dict[str, list[int]]:
    """Return counts by route in the form that is stored."""
    return {
        route: [
            *(counts.new.seen, counts.new.failed, counts.new.slow),
            *(counts.old.seen, counts.old.failed, counts.old.slow),
        ]
        for route, counts in table.items()
    }


def _decode_table(stored: dict[str, list[int]]) -> Table:
    """Return counts by route from the form that is stored."""
    return {
        route: RouteCounts(Counts(*row[:3]), Counts(*row[3:]))
        for route, row in stored.items()
    }
