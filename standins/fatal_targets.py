"""Targets that end under certain requests, and are replaced seconds later."""

import asyncio
import collections
import dataclasses
import time

from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.platform_site import PlatformSite
from standins.platform_targets import Behaviour, PlatformTarget, Run
from standins.replaced_targets import ReplacedTargets

# Time from the arrival of a request to its answer, or to the target's end.
WORK_S = 0.05
EVENTS = 3

# Path and body of a request.
Subject = tuple[str, bytes]


@dataclasses.dataclass(slots=True)
class SubjectRecord:
    """
    What happened to a fatal request.

    :ivar arrivals: times at which it reached a target, seconds of the
        monotonic clock.
    :ivar ends: times at which a target ended under it.
    """

    arrivals: list[float] = dataclasses.field(default_factory=list)
    ends: list[float] = dataclasses.field(default_factory=list)

    def late_arrivals(self, ends: int, seconds: float) -> int:
        """Return the arrivals later than some time after some ends."""
        if len(self.ends) < ends:
            return 0
        after = self.ends[ends - 1] + seconds
        return sum(arrival > after for arrival in self.arrivals)


class FatalTarget(PlatformTarget):
    """A target that ends when it begins to run a fatal request."""

    def __init__(
        self, target_id: str, service: str, domain: str, fleet: 'FatalTargets'
    ) -> None:
        """Create a target of a fleet."""
        super().__init__(target_id, service, domain)
        self.service, self.domain = service, domain
        events = EVENTS if service == 'engine' else 0
        self.behaviour = Behaviour(delay_s=WORK_S, events=events)
        self._fleet = fleet

    async def _answer(
        self,
        request: CallerRequest,
        caller: CallerConnection,
        behaviour: Behaviour,
        run: Run,
    ) -> None:
        """Answer, or end if the request is fatal."""
        subject = (request.target, request.body)
        if subject in self._fleet.fatal:
            self._fleet.records[subject].arrivals.append(time.monotonic())
            await asyncio.sleep(WORK_S)
            self._fleet.end_under(self, subject)
            await asyncio.sleep(1)
        await super()._answer(request, caller, behaviour, run)


class FatalTargets(ReplacedTargets[FatalTarget]):
    """
    The targets of a site.

    :ivar fatal: requests under which they end.
    :ivar records: what happened to each of these.
    :ivar ended: number of targets that ended.
    """

    def __init__(self, site: PlatformSite) -> None:
        """Start without targets."""
        super().__init__(site)
        self.fatal: set[Subject] = set()
        self.records: collections.defaultdict[Subject, SubjectRecord] = (
            collections.defaultdict(SubjectRecord)
        )
        self.ended = 0

    async def add(self, service: str, domain: str) -> None:
        """Start one target and register it."""
        target = self._make(service, domain)
        await self._site.add_target(target)
        self._live.append(target)

    def end_under(self, target: FatalTarget, subject: Subject) -> None:
        """End a target under a request."""
        if target in self._live:
            self.records[subject].ends.append(time.monotonic())
            self.end(target)

    def end(self, target: FatalTarget) -> None:
        """End a target and replace it later."""
        self.ended += 1
        # Its connections are closed after the handlers that end it.
        asyncio.get_running_loop().call_soon(target.stop)
        self._schedule_replacement(target)

    def _make_successor(self, target: FatalTarget) -> FatalTarget:
        """Return the target that replaces one."""
        return self._make(target.service, target.domain)

    def _make(self, service: str, domain: str) -> FatalTarget:
        """Return a new target."""
        return FatalTarget(f't-{next(self._numbers)}', service, domain, self)


__all__ = ('FatalTarget', 'FatalTargets', 'Subject', 'SubjectRecord')
