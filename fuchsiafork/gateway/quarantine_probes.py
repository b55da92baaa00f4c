"""Requests that are sent to show whether a part in quarantine is harmless."""

import dataclasses
from typing import Any

from fuchsiafork.gateway.notice_writer import NoticeWriter
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import StoreUnavailableError
from fuchsiafork.quarantine import Notice, PartEvidence, Probe


class QuarantineProbes:
    """Lets one VM of the fleet at a time send a probe."""

    def __init__(
        self,
        evidence: PartEvidence,
        writer: NoticeWriter,
        clock: Clock,
        log: Any,
    ) -> None:
        """Start without probes."""
        self._evidence = evidence
        self._writer = writer
        self._clock = clock
        self._log = log
        # Probes that the store is being asked for.
        self._acquiring: set[Probe] = set()
        # Probes of this VM that reached no target.
        self._unspent: set[Probe] = set()

    def next(self, quarantined: list[str]) -> Probe | None:
        """
        Return the probe that a request may be sent as, None if there is none.

        :param quarantined: parts in quarantine that the request holds.
        """
        # The last part is shared by the fewest requests.
        *others, part = quarantined
        probe = self._evidence.next_probe(
            part, self._clock.now(), joint=bool(others)
        )
        if probe is None:
            return None
        return dataclasses.replace(probe, others=tuple(others))

    async def acquire(self, probe: Probe, lifetime: str) -> bool:
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

    def give_back(self, probe: Probe) -> None:
        """Keep a probe that reached no target for the next prompt here."""
        if self._evidence.return_probe(probe, self._clock.now()):
            self._unspent.add(probe)
            self._log.info(
                'probe_unspent', part=probe.part, number=probe.number
            )

    def apply(self, notice: Notice) -> None:
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

    def forget_released(self) -> None:
        """Forget unspent probes of parts that are in quarantine no more."""
        self._unspent = {
            probe
            for probe in self._unspent
            if self._evidence.quarantined((probe.part,))
        }

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


__all__ = ('QuarantineProbes',)
