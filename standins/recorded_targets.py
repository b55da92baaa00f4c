"""Targets that record arrivals and their own announcements."""

import contextlib
import dataclasses
import time
from typing import Any

from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.platform_targets import Behaviour, PlatformTarget

FIRST_START_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEvent:
    """
    The arrival of a request, or the head of an answer to one.

    :ivar at: time, seconds of the monotonic clock.
    :ivar lifetime: start of the target.
    """

    at: float
    lifetime: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """
    A refusal with which a target requests a pause of a VM.

    :ivar refusal: the head of the answer.
    :ivar seconds: length of the pause from then on.
    """

    refusal: TargetEvent
    seconds: float


@dataclasses.dataclass(slots=True)
class TargetRecord:
    """
    What several targets received and announced.

    :ivar arrivals: requests that reached a target, also refused ones.
    :ivar announcements: answers that announced that a target is leaving.
    :ivar pauses: answers with which a target requested a pause.
    """

    arrivals: list[TargetEvent] = dataclasses.field(default_factory=list)
    announcements: list[TargetEvent] = dataclasses.field(default_factory=list)
    pauses: list[Pause] = dataclasses.field(default_factory=list)


class RecordedTarget(PlatformTarget):
    """
    A target that adds to a record.

    :ivar started_unix_ms: time of its start, raised when it restarts.
    """

    def __init__(
        self, target_id: str, service: str, domain: str, record: TargetRecord
    ) -> None:
        """Create a target that doesn't listen yet."""
        super().__init__(target_id, service, domain)
        self.started_unix_ms = FIRST_START_MS
        self._record = record

    @property
    def entry(self) -> dict[str, Any]:
        """The entry that the target has in the store."""
        return {**super().entry, 'born': self.started_unix_ms}

    async def _serve(
        self, request: CallerRequest, caller: CallerConnection
    ) -> None:
        """Record the arrival and answer."""
        request_id = request.header('x-attempt-id')
        self._record.arrivals.append(self._event(request_id))
        await super()._serve(request, caller)

    def _announcements(
        self, behaviour: Behaviour, request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of an answer, and record the announcements."""
        if behaviour.leaving:
            self._record.announcements.append(self._event(request_id))
        headers = super()._announcements(behaviour, request_id)
        with contextlib.suppress(KeyError, ValueError):
            seconds = float(dict(headers)['retry-after'])
            self._record.pauses.append(Pause(self._event(request_id), seconds))
        return headers

    def _event(self, request_id: str) -> TargetEvent:
        """Return what happens to a request now."""
        lifetime = f'{self.target_id}@{self.started_unix_ms}'
        return TargetEvent(time.monotonic(), lifetime, request_id)


__all__ = (
    'FIRST_START_MS',
    'Pause',
    'RecordedTarget',
    'TargetEvent',
    'TargetRecord',
)
