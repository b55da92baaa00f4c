"""Keeps requests away from targets that would end under them."""

import asyncio
import json
import random
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.notice_writer import NoticeWriter
from fuchsiafork.gateway.target_ends import TargetEnds
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.gateway.watcher import Watcher
from fuchsiafork.kernel import Clock, stable_hash
from fuchsiafork.kernel.errors import (
    NotConfiguredError,
    QuarantinedError,
    StoreUnavailableError,
)
from fuchsiafork.platform.store import Changes, Item
from fuchsiafork.quarantine import (
    AnsweredRequests,
    Notice,
    NoticeKind,
    PartEvidence,
    Probe,
    decode_notice,
    suppression_delay_s,
)
from fuchsiafork.quarantine.evidence import FORGET_S
from fuchsiafork.quarantine.notices import MAX_PART_CHARS, MAX_PARTS

EXPIRY_INTERVAL_S = 10.0
RETRY_AFTER_S = 2.0


class RequestQuarantine:
    """
    Reports targets that end, and refuses requests that would end more.

    :ivar listed: whether the notices of other VMs are known.
    """

    def __init__(
        self,
        writer: NoticeWriter,
        watcher: Watcher,
        targets: TargetTable,
        clock: Clock,
        rng: random.Random,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """
        Start without evidence.

        :param watcher: follows the notices of all VMs.
        """
        self.listed = False
        self._writer = writer
        self._watcher = watcher
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self._evidence = PartEvidence()
        self._ends = TargetEnds(targets, self._report, log)
        self._answered = AnsweredRequests()
        # Probes that the store is being asked for.
        self._acquiring: set[Probe] = set()
        # Probes of this VM that reached no target.
        self._unspent: set[Probe] = set()
        # Times at which to report that an answer has begun, by part.
        self._acquittals: dict[str, float] = {}
        self._scheduled = asyncio.Event()

    async def watch(self) -> None:
        """Follow the notices of all VMs until cancelled."""
        await self._watcher.run(self._apply_listing, self._apply_changes)

    async def run(self) -> None:
        """Report acquittals and forget old evidence until cancelled."""
        while True:
            await self._wait_for_work()
            self._queue_acquittals()
            now = self._clock.now()
            self._evidence.expire(now)
            self._unspent = {
                probe
                for probe in self._unspent
                if self._evidence.quarantined((probe.part,))
            }
            self._metrics.quarantined_parts.set(len(self._evidence))

    def check(self, parts: tuple[str, ...]) -> None:
        """
        Refuse a request that no target may get now.

        :param parts: parts of its prompt, and the one of the whole request
            last.
        :raises NotConfiguredError: if the notices aren't known yet.
        :raises QuarantinedError: if a part is in quarantine.
        """
        if not self.listed:
            raise NotConfiguredError(
                'the quarantined requests are not known yet', retry_after=1
            )
        if self._evidence.quarantined(_ids(parts)):
            self._next_probe(_ids(parts))

    async def admit(
        self, parts: tuple[str, ...], target: Target
    ) -> Probe | None:
        """
        Return the probe that an attempt is, None if it is an ordinary one.

        :raises QuarantinedError: if the target may not get the request.
        """
        ids = _ids(parts)
        if not self._evidence.quarantined(ids):
            return None
        probe = self._next_probe(ids)
        if self._evidence.has_ended(probe.part, target.lifetime):
            raise self._refusal([probe.part], 'its target has ended')
        if await self._acquire(probe, target.lifetime):
            return probe
        # The part may have been released meanwhile.
        quarantined = self._evidence.quarantined(ids)
        if quarantined:
            raise self._refusal(quarantined, 'another request is the probe')
        return None

    def return_probe(self, probe: Probe) -> None:
        """Keep a probe that reached no target for the next prompt here."""
        if self._evidence.return_probe(probe, self._clock.now()):
            self._unspent.add(probe)
            self._log.info(
                'probe_unspent', part=probe.part, number=probe.number
            )

    async def may_repeat(self, parts: tuple[str, ...], target: Target) -> bool:
        """Return whether another target may get a request that broke."""
        lifetime = target.lifetime
        await self._ends.wait_for_checks(_ids(parts), lifetime)
        return not any(
            self._evidence.is_suspected(part, lifetime)
            or self._ends.is_suspected(part, lifetime)
            for part in _ids(parts)
        )

    def record_begun(self, parts: tuple[str, ...]) -> None:
        """Record that a target has begun to answer a prompt."""
        for part in _ids(parts):
            self._ends.acquit(part)
            urgent = bool(self._evidence.quarantined((part,)))
            ends = self._evidence.ends(part)
            if self._evidence.begin(part):
                self._log.info(
                    'part_acquitted', part=part, ends=ends, quarantined=urgent
                )
                self._schedule_acquittal(part, urgent=urgent)

    def record_answered(self, part: str) -> None:
        """Record that a target has run the request of a part, and lives."""
        self._answered.record(part, self._clock.now())
        self.record_begun((part,))

    def record_alive(self, target: Target) -> None:
        """Record that a target answers after a connection to it broke."""
        self._ends.record_alive(target)

    def release(self, part: str) -> bool:
        """Let targets get a part again; return whether it was quarantined."""
        known = bool(self._evidence.quarantined((part,)))
        if self._evidence.begin(part):
            self._schedule_acquittal(part, urgent=True)
        return known

    def quarantined(self) -> list[dict[str, Any]]:
        """Return the parts in quarantine, for operators."""
        return [
            {'part': part, 'ends': ends, 'probes_left': not final}
            for part, ends, final in self._evidence.suspects()
        ]

    def record_broken(self, parts: tuple[str, ...], target: Target) -> None:
        """Record that a target broke off before it answered a request."""
        now = self._clock.now()
        suspected = tuple(
            part for part in _ids(parts) if not self._answered.has(part, now)
        )
        if suspected:
            self._ends.record(suspected, target)

    def _next_probe(self, ids: tuple[str, ...]) -> Probe:
        """
        Return the probe that a request may be sent as.

        :raises QuarantinedError: if there is none.
        """
        now = self._clock.now()
        quarantined = self._evidence.quarantined(ids)
        # The last part is shared by the fewest requests.
        probe = self._evidence.next_probe(quarantined[-1], now)
        if probe is None:
            raise self._refusal(quarantined, 'no probe is due')
        return probe

    def _refusal(self, quarantined: list[str], reason: str) -> QuarantinedError:
        """Return the error for a request, and keep its quarantine known."""
        now = self._clock.now()
        due = [part for part in quarantined if self._evidence.refuse(part, now)]
        if due:
            self._writer.queue(Notice(NoticeKind.QUARANTINED, tuple(due)))
        ends = max(self._evidence.ends(part) for part in quarantined)
        final = any(self._evidence.is_final(part) for part in quarantined)
        return QuarantinedError(
            f'{ends} targets ended under {quarantined!r}; {reason}',
            retry_after=FORGET_S if final else RETRY_AFTER_S,
            final=final,
        )

    async def _acquire(self, probe: Probe, lifetime: str) -> bool:
        """Return whether this request may be a probe, which no other one is."""
        if probe in self._acquiring:
            return False
        now = self._clock.now()
        self._acquiring.add(probe)
        try:
            granted = await self._take(probe, lifetime)
        except StoreUnavailableError as error:
            self._log.info('probe_unknown', part=probe.part, reason=str(error))
            return False
        finally:
            self._acquiring.discard(probe)
        self._evidence.record_probe(
            probe.part, probe.number, lifetime if granted else '', now
        )
        self._log.info(
            'probe', part=probe.part, number=probe.number, granted=granted
        )
        return granted

    def _is_unspent(self, part: str, number: int) -> bool:
        """Return whether a probe is one of this VM that reached no target."""
        return any(
            (probe.part, probe.number) == (part, number)
            for probe in self._unspent
        )

    async def _take(self, probe: Probe, lifetime: str) -> bool:
        """
        Return whether a probe is this VM's.

        :raises StoreUnavailableError: if that is unknown.
        """
        if probe in self._unspent:
            self._unspent.discard(probe)
            return True
        return await self._writer.acquire(probe, lifetime)

    def _report(self, lifetime: str, parts: tuple[str, ...]) -> None:
        """Report the parts under which a target has ended."""
        self._metrics.ended_targets.inc()
        self._log.warning(
            'target_ended', target=lifetime, parts=','.join(parts)
        )
        self._add_end(lifetime, parts)
        for start in range(0, len(parts), MAX_PARTS):
            chunk = parts[start : start + MAX_PARTS]
            self._writer.queue(Notice(NoticeKind.ENDED, chunk, lifetime))

    def _schedule_acquittal(self, part: str, *, urgent: bool) -> None:
        """Report later that an answer on a part has begun."""
        delay_s = 0.0 if urgent else suppression_delay_s(self._rng)
        due_at = self._clock.now() + delay_s
        known = self._acquittals.get(part, due_at)
        self._acquittals[part] = min(known, due_at)
        self._scheduled.set()

    def _queue_acquittals(self) -> None:
        """Queue a notice with the acquittals that are due."""
        now = self._clock.now()
        due = [part for part, at in self._acquittals.items() if at <= now]
        for part in due:
            self._acquittals.pop(part)
        if due:
            self._writer.queue(Notice(NoticeKind.BEGUN, tuple(due[:MAX_PARTS])))

    async def _wait_for_work(self) -> None:
        """Wait until an acquittal is due or evidence may expire."""
        due_at = min(self._acquittals.values(), default=None)
        limit_s = EXPIRY_INTERVAL_S
        if due_at is not None:
            limit_s = min(limit_s, max(0.0, due_at - self._clock.now()))
        try:
            async with asyncio.timeout(limit_s):
                await self._scheduled.wait()
        except TimeoutError:
            return
        self._scheduled.clear()

    def _apply_listing(self, changes: Changes) -> None:
        """Apply the notices of a listing, which is ordered by key."""
        for item in sorted(changes.items, key=lambda item: item.revision):
            self._apply_item(item)
        self.listed = True

    def _apply_changes(self, changes: Changes) -> None:
        """Apply new notices."""
        for item in changes.items:
            self._apply_item(item)

    def _apply_item(self, item: Item) -> None:
        """Apply one notice; its removal changes nothing."""
        if item.value is None:
            return
        try:
            notice = decode_notice(item.value)
        except ValueError as error:
            reason = json.dumps(str(error))
            self._log.warning('notice_ignored', key=item.key, reason=reason)
            return
        self._apply(notice, item.revision)

    def _apply(self, notice: Notice, revision: int) -> None:
        """Apply a notice to the evidence."""
        now = self._clock.now()
        if notice.kind is NoticeKind.ENDED:
            self._add_end(notice.lifetime, notice.parts, revision)
        elif notice.kind is NoticeKind.QUARANTINED:
            added = self._evidence.announce(notice.parts, now, revision)
            self._log_quarantined(added)
        elif notice.kind is NoticeKind.PROBED:
            for part in notice.parts:
                if not self._is_unspent(part, notice.probe):
                    self._evidence.record_probe(
                        part, notice.probe, notice.lifetime, now
                    )
        else:
            for part in notice.parts:
                self._acquittals.pop(part, None)
            released = self._evidence.clear(notice.parts, revision)
            if released:
                self._log.warning('parts_released', parts=','.join(released))

    def _add_end(
        self,
        lifetime: str,
        parts: tuple[str, ...],
        revision: int | None = None,
    ) -> None:
        """Add the end of a target to the evidence."""
        now = self._clock.now()
        if revision is None:
            added = self._evidence.add_end(lifetime, parts, now)
        else:
            added = self._evidence.add_end(lifetime, parts, now, revision)
        self._log_quarantined(added)
        for part in parts:
            if self._answered.has(part, now) and self._evidence.begin(part):
                self._schedule_acquittal(part, urgent=False)

    def _log_quarantined(self, parts: list[str]) -> None:
        """Log the parts that are now in quarantine."""
        self._metrics.quarantined_parts.set(len(self._evidence))
        for part in parts:
            self._log.warning(
                'part_quarantined', part=part, ends=self._evidence.ends(part)
            )


def _ids(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the ids of parts in notices, with hashes for long ones."""
    return tuple(
        part if len(part) <= MAX_PART_CHARS else f'{stable_hash(part):016x}'
        for part in parts
        if part
    )


__all__ = ('RequestQuarantine',)
