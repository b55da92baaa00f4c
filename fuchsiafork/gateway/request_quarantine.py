"""Keeps requests away from targets that would end under them."""

import json
import random
from typing import Any

from fuchsiafork.balancing.attempt_work import AttemptWork
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.notice_writer import NoticeWriter
from fuchsiafork.gateway.observed_answer import ObservedAnswer
from fuchsiafork.gateway.part_conclusions import PartConclusions
from fuchsiafork.gateway.quarantine_probes import QuarantineProbes
from fuchsiafork.gateway.targets import Target, TargetTable
from fuchsiafork.gateway.watcher import Watcher
from fuchsiafork.kernel import Clock, stable_hash
from fuchsiafork.kernel.errors import (
    NotConfiguredError,
    QuarantinedError,
)
from fuchsiafork.platform.store import Changes, Item
from fuchsiafork.quarantine import (
    EVERYTHING,
    Notice,
    NoticeKind,
    PartEvidence,
    Probe,
    decode_notice,
    make_notice,
)
from fuchsiafork.quarantine.evidence import FORGET_S
from fuchsiafork.quarantine.notices import MAX_PART_CHARS

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
        self._metrics = metrics
        self._log = log
        self._evidence = PartEvidence()
        self._probes = QuarantineProbes(self._evidence, writer, clock, log)
        self._conclusions = PartConclusions(
            self._evidence, writer, targets, clock, rng, metrics, log
        )

    async def watch(self) -> None:
        """Follow the notices of all VMs until cancelled."""
        await self._watcher.run(self._apply_listing, self._apply_changes)

    async def run(self) -> None:
        """Report conclusions and forget old evidence until cancelled."""
        self._conclusions.open()
        try:
            await self._run()
        finally:
            self._conclusions.close()

    async def _run(self) -> None:
        """Report conclusions and forget old evidence; see run()."""
        while True:
            await self._conclusions.report_due()
            self._evidence.expire(self._clock.now())
            self._probes.forget_released()
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
        quarantined = self._evidence.quarantined(_ids(parts))
        if quarantined:
            self._require_probe(quarantined)

    async def admit(
        self, parts: tuple[str, ...], target: Target
    ) -> Probe | None:
        """
        Return the probe that an attempt is, None if it is an ordinary one.

        :raises QuarantinedError: if the target may not get the request.
        """
        ids = _ids(parts)
        quarantined = self._evidence.quarantined(ids)
        if not quarantined:
            return None
        probe = self._require_probe(quarantined)
        if self._evidence.has_ended(probe.part, target.lifetime):
            raise self._refusal([probe.part], 'its target has ended')
        if await self._probes.acquire(probe, target.lifetime):
            return probe
        # The part may have been released meanwhile.
        quarantined = self._evidence.quarantined(ids)
        if quarantined:
            raise self._refusal(quarantined, 'another request is the probe')
        return None

    def observe(
        self, parts: tuple[str, ...], target: Target, work: AttemptWork
    ) -> ObservedAnswer:
        """
        Return what the answer to an attempt is to be reported to.

        :param parts: parts of its prompt, and the one of the whole request
            last.
        """
        return ObservedAnswer(
            _ids(parts), target, self._clock, self._conclusions, work
        )

    def return_probe(self, probe: Probe) -> None:
        """Keep a probe that reached no target for the next prompt here."""
        self._probes.give_back(probe)

    async def may_repeat(self, parts: tuple[str, ...], target: Target) -> bool:
        """Return whether another target may get a request that broke."""
        return await self._conclusions.may_repeat(_ids(parts), target)

    def record_lost_connection(self, address: str) -> None:
        """Record that a target has no connection left, or accepts none."""
        self._conclusions.record_lost_connection(address)

    def record_alive(self, target: Target) -> None:
        """Record that a target answers after a connection to it broke."""
        self._conclusions.record_alive(target)

    def release(self, part: str) -> bool:
        """Let targets get a part again; return whether it was quarantined."""
        known = bool(self._evidence.quarantined((part,)))
        self._conclusions.acquit(part, EVERYTHING)
        return known

    def quarantined(self) -> list[dict[str, Any]]:
        """Return the parts in quarantine, for operators."""
        return [
            {'part': part, 'ends': ends, 'probes_left': not final}
            for part, ends, final in self._evidence.suspects()
        ]

    def _require_probe(self, quarantined: list[str]) -> Probe:
        """
        Return the probe that a request may be sent as.

        :raises QuarantinedError: if there is none.
        """
        probe = self._probes.next(quarantined)
        if probe is None:
            raise self._refusal(quarantined, 'no probe is due')
        return probe

    def _refusal(self, quarantined: list[str], reason: str) -> QuarantinedError:
        """Return the error for a request, and keep its quarantine known."""
        now = self._clock.now()
        due = [part for part in quarantined if self._evidence.refuse(part, now)]
        if due:
            furthest = {part: self._evidence.furthest(part) for part in due}
            self._writer.queue(
                make_notice(NoticeKind.QUARANTINED, tuple(due), furthest)
            )
        ends = max(self._evidence.ends(part) for part in quarantined)
        final = any(self._evidence.is_final(part) for part in quarantined)
        return QuarantinedError(
            f'{ends} targets ended under {quarantined!r}; {reason}',
            retry_after=FORGET_S if final else RETRY_AFTER_S,
            final=final,
        )

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
            self._conclusions.add_end(notice, progress, revision)
            self._conclusions.report_settling(notice.lifetime)
        elif notice.kind is NoticeKind.QUARANTINED:
            added = self._evidence.announce(
                notice.parts, now, revision, progress
            )
            self._conclusions.log_quarantined(added)
        elif notice.kind is NoticeKind.PROBED:
            self._probes.apply(notice)
        else:
            self._conclusions.apply_acquittals(notice)


def _ids(parts: tuple[str, ...]) -> tuple[str, ...]:
    """Return the ids of parts in notices, with hashes for long ones."""
    return tuple(
        part if len(part) <= MAX_PART_CHARS else f'{stable_hash(part):016x}'
        for part in parts
        if part
    )


__all__ = ('RequestQuarantine',)
