"""Concludes from answers and ends of targets which parts are suspected."""

import asyncio
import collections
import random
from collections.abc import Mapping
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.notice_writer import NoticeWriter
from fuchsiafork.gateway.observed_answer import ObservedAnswer
from fuchsiafork.gateway.target_ends import TargetEnds
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.quarantine import (
    Acquittal,
    AnsweredParts,
    CompleteAnswer,
    Notice,
    NoticeKind,
    PartEvidence,
    PendingAcquittals,
    PendingEnd,
    Progress,
    SettlingAnswers,
    make_notice,
    proven_by_event,
    proven_by_whole_answer,
    suppression_delay_s,
)
from fuchsiafork.quarantine.evidence import QUARANTINE_ENDS, UNWRITTEN
from fuchsiafork.quarantine.identity import REQUEST_MARK
from fuchsiafork.quarantine.notices import MAX_PARTS
from fuchsiafork.quarantine.settling import SETTLE_S

# Longest time between two looks at the reports that are due.
IDLE_INTERVAL_S = 10.0
# Ends from which on a part is acquitted after this share of the usual delay.
URGENT_ENDS = QUARANTINE_ENDS - 1
URGENT_SHARE = 0.15


class PartConclusions:
    """
    Draws the conclusions of one VM, and reports them to the others.

    What answers and ends prove is told in the package ``quarantine``.
    """

    def __init__(
        self,
        evidence: PartEvidence,
        writer: NoticeWriter,
        targets: TargetTable,
        clock: Clock,
        rng: random.Random,
        metrics: GatewayMetrics,
        log: Any,
    ) -> None:
        """Start without answers."""
        self._evidence = evidence
        self._writer = writer
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self._ends = TargetEnds(targets, self._report, rng, log)
        self._settling = SettlingAnswers()
        self._answered_parts = AnsweredParts()
        self._answered_requests = AnsweredParts()
        self._acquittals = PendingAcquittals()
        self._scheduled = asyncio.Event()
        # Time at which answers may acquit a part, None if there are none.
        self._settle_at: float | None = None

    def open(self) -> None:
        """Check targets that may have ended, as it does at first."""
        self._ends.open()

    def close(self) -> None:
        """Check no further targets, as the process stops."""
        self._ends.close()

    async def report_due(self) -> None:
        """Wait for a while, and report what is due by then."""
        await self._wait_for_work()
        if self._settle_at is not None and self._clock.now() >= self._settle_at:
            self._settle_at = None
        self._settle()
        self._queue_acquittals()

    async def may_repeat(self, parts: tuple[str, ...], target: Target) -> bool:
        """Return whether another target may get a request that broke."""
        lifetime = target.lifetime
        await self._ends.wait_for_checks(parts, lifetime)
        now = self._clock.now()
        return not any(
            self._evidence.is_suspected(part, lifetime)
            or self._ends.is_suspected(part, lifetime)
            for part in parts
            if not self._answered(part).has(part, now)
        )

    def record_event(self, answer: ObservedAnswer) -> None:
        """Record that a target has written an event: it has lived so far."""
        if self._may_acquit(answer.parts):
            harmless = proven_by_event(answer.progress)
            for part in answer.parts:
                self.acquit(part, harmless)

    def record_whole(
        self, answer: ObservedAnswer, parts: tuple[str, ...]
    ) -> None:
        """Record a complete answer, which counts once its target lived on."""
        now = self._clock.now()
        complete = CompleteAnswer(
            answer.target.lifetime, parts, answer.progress
        )
        self._settle()
        self._settling.add(complete, now)
        self._await_settling(parts)

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

    def acquit(self, part: str, harmless: Progress) -> None:
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
            urgent = quarantined or ends >= URGENT_ENDS
            self._schedule_acquittal(part, harmless, urgent=urgent)

    def add_end(
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
        self.log_quarantined(added)
        if self._settling:
            self._await_settling(notice.parts)
        for part in notice.parts:
            harmless = self._proof_against(part, notice.lifetime)
            if harmless is not None:
                self.acquit(part, harmless)

    def report_settling(self, lifetime: str) -> None:
        """Report the answers that a target, whose end is known, wrote last."""
        parts: dict[str, Progress] = {}
        for answer in self._settling.pop_lifetime(lifetime):
            for part in answer.parts:
                reached = parts.get(part, answer.progress)
                parts[part] = reached.join(answer.progress)
        if parts and not self._ends.is_known(lifetime):
            self._report(PendingEnd(lifetime, parts, confirmed=True))

    def apply_acquittals(self, notice: Notice) -> None:
        """Apply what another VM concludes from an answer."""
        for part, harmless in notice.progress_by_part.items():
            acquittal = Acquittal(part, harmless, notice.until)
            self._acquittals.drop(acquittal)
            if self._evidence.clear((part,), notice.until, harmless):
                self._log.warning('parts_released', parts=part)

    def log_quarantined(self, parts: list[str]) -> None:
        """Log the parts that are now in quarantine."""
        self._metrics.quarantined_parts.set(len(self._evidence))
        for part in parts:
            self._log.warning(
                'part_quarantined', part=part, ends=self._evidence.ends(part)
            )

    def _may_acquit(self, parts: tuple[str, ...]) -> bool:
        """Return whether an answer on some parts may acquit one."""
        return bool(self._ends) or not self._evidence.suspected.isdisjoint(
            parts
        )

    def _answered(self, part: str) -> AnsweredParts:
        """Return the memory of answers on parts of its kind."""
        if part.startswith(REQUEST_MARK):
            return self._answered_requests
        return self._answered_parts

    def _proof_against(self, part: str, lifetime: str) -> Progress | None:
        """
        Return up to where a part is known to be harmless, None if it isn't.

        Whole requests come seldom, and an answer to one counts for as long as
        it is remembered.

        :param lifetime: start of a target that ended under the part.
        """
        now = self._clock.now()
        if part.startswith(REQUEST_MARK):
            return self._answered_requests.proof(part, now)
        return self._answered_parts.proof_against(part, lifetime, now)

    def _settle(self) -> None:
        """Draw the conclusion from answers whose targets have lived on."""
        for ended_at, answer in self._settling.pop_settled(self._clock.now()):
            if self._ends.is_known(answer.lifetime):
                continue
            harmless = proven_by_whole_answer(answer.progress.events)
            for part in answer.parts:
                self._answered(part).record(part, ended_at, harmless)
                self.acquit(part, harmless)

    def _await_settling(self, parts: tuple[str, ...]) -> None:
        """Look at the answers once they may acquit one of some parts."""
        if self._settle_at is None and self._may_acquit(parts):
            self._settle_at = self._clock.now() + SETTLE_S
            self._scheduled.set()

    def _suspect_settling(self, target: Target) -> None:
        """Suspect the parts on which a target wrote right before its end."""
        for answer in self._settling.pop_lifetime(target.lifetime):
            self._ends.record(answer.parts, target, answer.progress)

    def _report(self, end: PendingEnd) -> None:
        """Report the parts under which a target has ended."""
        self._settle()
        self._metrics.ended_targets.inc()
        progress = {
            part: reached
            for part, reached in end.parts.items()
            if not self._is_refuted(part, end.lifetime, reached)
        }
        self._log.warning(
            'target_ended', target=end.lifetime, parts=','.join(progress)
        )
        parts = tuple(progress)
        self.add_end(Notice(NoticeKind.ENDED, parts, end.lifetime), progress)
        for start in range(0, len(parts), MAX_PARTS):
            chunk = parts[start : start + MAX_PARTS]
            self._writer.queue(
                make_notice(NoticeKind.ENDED, chunk, progress, end.lifetime)
            )

    def _is_refuted(self, part: str, lifetime: str, reached: Progress) -> bool:
        """Return whether an answer shows that a part ended no target."""
        harmless = self._proof_against(part, lifetime)
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
        now = self._clock.now()
        times = (
            now + IDLE_INTERVAL_S,
            self._acquittals.next_due_at,
            self._settle_at,
        )
        limit_s = max(0.0, min(at for at in times if at is not None) - now)
        try:
            async with asyncio.timeout(limit_s):
                await self._scheduled.wait()
        except TimeoutError:
            return
        self._scheduled.clear()


__all__ = ('PartConclusions',)
