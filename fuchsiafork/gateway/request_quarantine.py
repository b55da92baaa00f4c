"""Keeps requests away from targets that would end under them."""

import asyncio
import collections
import dataclasses
import json
import random
from collections.abc import Mapping
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.notice_writer import NoticeWriter
from fuchsiafork.gateway.observed_answer import ObservedAnswer
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
    EVERYTHING,
    Acquittal,
    AnsweredParts,
    CompleteAnswer,
    Notice,
    NoticeKind,
    PartEvidence,
    PendingAcquittals,
    PendingEnd,
    Probe,
    Progress,
    SettlingAnswers,
    decode_notice,
    proven_by_event,
    proven_by_whole_answer,
    suppression_delay_s,
)
from fuchsiafork.quarantine.answered import REMEMBER_S
from fuchsiafork.quarantine.evidence import FORGET_S, UNWRITTEN
from fuchsiafork.quarantine.identity import REQUEST_MARK
from fuchsiafork.quarantine.notices import MAX_PART_CHARS, MAX_PARTS

EXPIRY_INTERVAL_S = 10.0
RETRY_AFTER_S = 2.0
# Interval at which answers are looked at that may acquit a part.
SETTLE_INTERVAL_S = 0.1
# An answer on a shared part refutes the ends heard of in this time; a part that
# has become fatal since is suspected afterwards. Whole requests come seldom,
# and an answer to one counts for as long as it is remembered.
REFUTE_S = 2.5
# Share of the usual delay after which a part in quarantine is acquitted.
URGENT_SHARE = 0.15


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
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self._evidence = PartEvidence()
        self._ends = TargetEnds(targets, self._report, log)
        self._settling = SettlingAnswers()
        self._answered_parts = AnsweredParts()
        self._answered_requests = AnsweredParts()
        # Probes that the store is being asked for.
        self._acquiring: set[Probe] = set()
        # Probes of this VM that reached no target.
        self._unspent: set[Probe] = set()
        self._acquittals = PendingAcquittals()
        self._scheduled = asyncio.Event()

    async def watch(self) -> None:
        """Follow the notices of all VMs until cancelled."""
        await self._watcher.run(self._apply_listing, self._apply_changes)

    async def run(self) -> None:
        """Report acquittals and forget old evidence until cancelled."""
        self._ends.open()
        try:
            await self._run()
        finally:
            self._ends.close()

    async def _run(self) -> None:
        """Report acquittals and forget old evidence; see run()."""
        while True:
            await self._wait_for_work()
            self._settle()
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
        now = self._clock.now()
        return not any(
            self._evidence.is_suspected(part, lifetime)
            or self._ends.is_suspected(part, lifetime)
            for part in _ids(parts)
            if not self._answered(part).has(part, now)
        )

    def observe(self, parts: tuple[str, ...], target: Target) -> ObservedAnswer:
        """
        Return what the answer to an attempt is to be reported to.

        :param parts: parts of its prompt, and the one of the whole request
            last.
        """
        return ObservedAnswer(_ids(parts), target, self._clock, self)

    def record_event(self, answer: ObservedAnswer) -> None:
        """Record that a target has written an event: it has lived so far."""
        if self._suspicious:
            harmless = proven_by_event(answer.progress)
            for part in answer.parts:
                self._acquit(part, harmless)

    def record_whole(
        self, answer: ObservedAnswer, parts: tuple[str, ...]
    ) -> None:
        """Record a complete answer, which counts once its target lived on."""
        now = self._clock.now()
        complete = CompleteAnswer(
            answer.target.lifetime, parts, answer.progress
        )
        self._settling.add(complete, now)
        self._settle()
        if self._suspicious:
            self._scheduled.set()

    def record_broken(self, answer: ObservedAnswer) -> None:
        """Record that a connection ended within an answer."""
        self._ends.record(answer.parts, answer.target, answer.progress)
        self._suspect_settling(answer.target)

    def record_lost_connection(self, address: str) -> None:
        """Record that a target has no connection left, or accepts none."""
        if not self._settling:
            return
        for state in self._targets.states():
            if state.target.address == address:
                self._suspect_settling(state.target)

    def record_alive(self, target: Target) -> None:
        """Record that a target answers after a connection to it broke."""
        self._ends.record_alive(target)

    def release(self, part: str) -> bool:
        """Let targets get a part again; return whether it was quarantined."""
        known = bool(self._evidence.quarantined((part,)))
        self._acquit(part, EVERYTHING)
        return known

    def quarantined(self) -> list[dict[str, Any]]:
        """Return the parts in quarantine, for operators."""
        return [
            {'part': part, 'ends': ends, 'probes_left': not final}
            for part, ends, final in self._evidence.suspects()
        ]

    @property
    def _suspicious(self) -> bool:
        """Whether an answer may acquit any part."""
        return bool(self._evidence.suspected or self._ends)

    def _answered(self, part: str) -> AnsweredParts:
        """Return the memory of answers on parts of its kind."""
        if part.startswith(REQUEST_MARK):
            return self._answered_requests
        return self._answered_parts

    def _recent_proof(self, part: str) -> Progress | None:
        """Return up to where a part was lately shown to be harmless."""
        whole = part.startswith(REQUEST_MARK)
        return self._answered(part).proof(
            part, self._clock.now(), REMEMBER_S if whole else REFUTE_S
        )

    def _settle(self) -> None:
        """Draw the conclusion from answers whose targets have lived on."""
        for ended_at, answer in self._settling.pop_settled(self._clock.now()):
            if self._ends.is_known(answer.lifetime):
                continue
            harmless = proven_by_whole_answer(answer.progress.events)
            for part in answer.parts:
                self._answered(part).record(part, ended_at, harmless)
                self._acquit(part, harmless)

    def _suspect_settling(self, target: Target) -> None:
        """Suspect the parts on which a target wrote right before its end."""
        for answer in self._settling.pop_lifetime(target.lifetime):
            self._ends.record(answer.parts, target, answer.progress)

    def _acquit(self, part: str, harmless: Progress) -> None:
        """
        Drop the ends that an answer on this VM refutes, and report that.

        :param harmless: up to where it shows the part to be harmless.
        """
        self._ends.acquit(part, harmless)
        if part not in self._evidence.suspected:
            return
        quarantined = bool(self._evidence.quarantined((part,)))
        ends = self._evidence.ends(part)
        if self._evidence.refute(part, harmless):
            self._log.info(
                'part_acquitted',
                part=part,
                ends=ends,
                events=harmless.events,
                quarantined=quarantined,
            )
            self._schedule_acquittal(part, harmless, urgent=quarantined)

    def _next_probe(self, ids: tuple[str, ...]) -> Probe:
        """
        Return the probe that a request may be sent as.

        :raises QuarantinedError: if there is none.
        """
        now = self._clock.now()
        quarantined = self._evidence.quarantined(ids)
        # The last part is shared by the fewest requests.
        *others, part = quarantined
        probe = self._evidence.next_probe(part, now, joint=bool(others))
        if probe is None:
            raise self._refusal(quarantined, 'no probe is due')
        return dataclasses.replace(probe, others=tuple(others))

    def _refusal(self, quarantined: list[str], reason: str) -> QuarantinedError:
        """Return the error for a request, and keep its quarantine known."""
        now = self._clock.now()
        due = [part for part in quarantined if self._evidence.refuse(part, now)]
        if due:
            furthest = {part: self._evidence.furthest(part) for part in due}
            self._queue(NoticeKind.QUARANTINED, tuple(due), furthest)
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
            probe.part,
            probe.number,
            lifetime if granted else '',
            now,
            joint=granted and bool(probe.others),
        )
        self._log.info(
            'probe',
            part=probe.part,
            number=probe.number,
            granted=granted,
            others=','.join(probe.others),
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

    def _report(self, end: PendingEnd) -> None:
        """Report the parts under which a target has ended."""
        self._settle()
        self._metrics.ended_targets.inc()
        progress = {
            part: reached
            for part, reached in end.parts.items()
            if not self._is_refuted(part, reached)
        }
        self._log.warning(
            'target_ended', target=end.lifetime, parts=','.join(progress)
        )
        parts = tuple(progress)
        self._add_end(Notice(NoticeKind.ENDED, parts, end.lifetime), progress)
        for start in range(0, len(parts), MAX_PARTS):
            self._queue(
                NoticeKind.ENDED,
                parts[start : start + MAX_PARTS],
                progress,
                end.lifetime,
            )

    def _queue(
        self,
        kind: NoticeKind,
        parts: tuple[str, ...],
        progress: Mapping[str, Progress],
        lifetime: str = '',
    ) -> None:
        """Queue a notice that tells how far answers on its parts had got."""
        reached = tuple(progress[part] for part in parts)
        self._writer.queue(Notice(kind, parts, lifetime, progress=reached))

    def _is_refuted(self, part: str, reached: Progress) -> bool:
        """Return whether a late answer shows that a part ended no target."""
        harmless = self._recent_proof(part)
        return harmless is not None and harmless.covers(reached)

    def _schedule_acquittal(
        self, part: str, harmless: Progress, *, urgent: bool
    ) -> None:
        """Report later that an answer has shown a part to be harmless."""
        delay_s = suppression_delay_s(self._rng)
        if urgent:
            delay_s *= URGENT_SHARE
        acquittal = Acquittal(part, harmless, self._evidence.revision)
        self._acquittals.schedule(acquittal, self._clock.now() + delay_s)
        self._scheduled.set()

    def _queue_acquittals(self) -> None:
        """Queue notices with the acquittals that are due."""
        by_revision = collections.defaultdict(list)
        for acquittal in self._acquittals.pop_due(self._clock.now()):
            by_revision[acquittal.until].append(acquittal)
        for until, due in by_revision.items():
            for start in range(0, len(due), MAX_PARTS):
                chunk = due[start : start + MAX_PARTS]
                self._writer.queue(
                    Notice(
                        NoticeKind.ACQUITTED,
                        tuple(acquittal.part for acquittal in chunk),
                        progress=tuple(each.harmless for each in chunk),
                        until=until,
                    )
                )

    async def _wait_for_work(self) -> None:
        """Wait until an acquittal is due or evidence may expire."""
        due_at = self._acquittals.next_due_at
        limit_s = EXPIRY_INTERVAL_S
        if self._settling and self._suspicious:
            limit_s = SETTLE_INTERVAL_S
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
        progress = notice.progress_by_part
        if notice.kind is NoticeKind.ENDED:
            self._add_end(notice, progress, revision)
            self._report_settling(notice.lifetime)
        elif notice.kind is NoticeKind.QUARANTINED:
            added = self._evidence.announce(
                notice.parts, now, revision, progress
            )
            self._log_quarantined(added)
        elif notice.kind is NoticeKind.PROBED:
            self._apply_probe(notice)
        else:
            self._apply_acquittals(notice)

    def _apply_probe(self, notice: Notice) -> None:
        """Apply a probe that another VM sends."""
        for part in notice.parts[:1]:
            if not self._is_unspent(part, notice.probe):
                self._evidence.record_probe(
                    part,
                    notice.probe,
                    notice.lifetime,
                    self._clock.now(),
                    joint=len(notice.parts) > 1,
                )

    def _apply_acquittals(self, notice: Notice) -> None:
        """Apply what another VM concludes from an answer."""
        for part, harmless in notice.progress_by_part.items():
            acquittal = Acquittal(part, harmless, notice.until)
            self._acquittals.drop(acquittal)
            if self._evidence.clear((part,), notice.until, harmless):
                self._log.warning('parts_released', parts=part)

    def _report_settling(self, lifetime: str) -> None:
        """Report the answers that a target, whose end is known, wrote last."""
        parts: dict[str, Progress] = {}
        for answer in self._settling.pop_lifetime(lifetime):
            for part in answer.parts:
                reached = parts.get(part, answer.progress)
                parts[part] = reached.join(answer.progress)
        if parts and not self._ends.is_known(lifetime):
            self._report(PendingEnd(lifetime, parts, confirmed=True))

    def _add_end(
        self,
        notice: Notice,
        progress: Mapping[str, Progress],
        revision: float = UNWRITTEN,
    ) -> None:
        """
        Add the end of a target to the evidence.

        :param progress: how far the answers on its parts had got.
        """
        added = self._evidence.add_end(
            notice.lifetime,
            notice.parts,
            self._clock.now(),
            revision,
            progress,
        )
        self._log_quarantined(added)
        for part in notice.parts:
            harmless = self._recent_proof(part)
            if harmless is not None:
                self._acquit(part, harmless)

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
