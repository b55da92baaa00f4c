"""A fleet of gateways before targets that announce their state, under load."""

import asyncio
import collections
import dataclasses
import itertools
import random
import time
from typing import Any

from standins.engine_fleet import prompt_headers
from standins.platform_caller import Call, Reply, call_once
from standins.platform_site import PlatformSite
from standins.platform_targets import Behaviour
from standins.recorded_targets import (
    RecordedTarget,
    TargetEvent,
    TargetRecord,
)

DOMAINS = 'abc'
REQUESTS_PER_S = 70.0
WORK_S = 0.02
EVENTS = 3
SUBJECTS = 40
OK_STATUS = 200
# Time from a refusal in which arrivals don't count yet, as it is on its way.
REFUSAL_DELAY_S = 0.5

# VM and start of a target.
Pair = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """
    A request and its answer as its caller saw them.

    :ivar sent_at: time, seconds of the monotonic clock.
    :ivar seconds: time to the end of the answer.
    """

    sent_at: float
    seconds: float
    reply: Reply

    @property
    def served(self) -> bool:
        """Whether the whole answer of a target came."""
        return self.reply.status == OK_STATUS and self.reply.complete


class AnnouncingFleet:
    """
    Gateways and targets in three failure domains, and callers.

    :ivar record: what the targets received and announced.
    :ivar exchanges: what the callers saw.
    """

    def __init__(self, path: str, key: str, seed: int) -> None:
        """
        Create a fleet that isn't started.

        :param path: path of all requests.
        :param key: key of their client account.
        """
        self.rng = random.Random(seed)
        self.site = PlatformSite()
        self.record = TargetRecord()
        self.exchanges: list[Exchange] = []
        self.targets: list[RecordedTarget] = []
        self._path = path
        self._key = key
        # VM and time of each request, by its id.
        self._sent: dict[str, tuple[str, float]] = {}
        self._ids = itertools.count()
        self._calls: set[asyncio.Task[None]] = set()

    async def start(
        self, configuration: dict[str, Any], vms: int, targets: int
    ) -> None:
        """Start everything and wait until the gateways are ready."""
        self.targets = [
            self.make_target(f't-{number}', DOMAINS[number % len(DOMAINS)])
            for number in range(targets)
        ]
        await self.site.start(configuration, [])
        for target in self.targets:
            await self.site.add_target(target)
        for number in range(vms):
            domain = DOMAINS[number % len(DOMAINS)]
            await self.site.add_gateway(f'{domain}-{number}', domain)

    async def stop(self) -> None:
        """Stop everything."""
        for task in self._calls:
            task.cancel()
        await self.site.stop()

    @property
    def prompting(self) -> bool:
        """Whether the requests are prompts."""
        return self._path.startswith(('/ask/', '/talk/'))

    def make_target(self, target_id: str, domain: str) -> RecordedTarget:
        """Return a target of the service that the requests are for."""
        service = 'engine' if self.prompting else 'plain'
        target = RecordedTarget(target_id, service, domain, self.record)
        events = EVENTS if self.prompting else 0
        target.behaviour = Behaviour(delay_s=WORK_S, events=events)
        return target

    async def run_load(self, seconds: float) -> None:
        """Send requests to random VMs."""
        started_at = time.monotonic()
        sent = 0
        while time.monotonic() < started_at + seconds:
            await asyncio.sleep(1 / REQUESTS_PER_S)
            while sent < (time.monotonic() - started_at) * REQUESTS_PER_S:
                self._start(self.rng.choice(tuple(self.site.ports)))
                sent += 1

    def arrivals_after_announcement(self, seconds: float) -> dict[Pair, int]:
        """
        Return how many requests reached a target after its announcement.

        :param seconds: time from the first such answer to the VM; requests
            that a caller sent earlier don't count.
        """
        notified_at: dict[Pair, float] = {}
        for event in self.record.announcements:
            notified_at.setdefault(self._pair(event), event.at)
        late: collections.Counter[Pair] = collections.Counter()
        for arrival in self.record.arrivals:
            _, sent_at = self._sent[arrival.request_id]
            pair = self._pair(arrival)
            if pair in notified_at and sent_at > notified_at[pair] + seconds:
                late[pair] += 1
        return dict(late)

    def arrivals_in_pauses(self) -> list[int]:
        """
        Return for each pause how many requests of its VM reached the target.

        Counted from some time after the refusal, in which it reaches the VM.
        """
        arrivals: dict[Pair, list[float]] = collections.defaultdict(list)
        for arrival in self.record.arrivals:
            arrivals[self._pair(arrival)].append(arrival.at)
        counts = []
        for pause in self.record.pauses:
            begins_at = pause.refusal.at + REFUSAL_DELAY_S
            ends_at = pause.refusal.at + pause.seconds
            times = arrivals[self._pair(pause.refusal)]
            counts.append(sum(begins_at < at < ends_at for at in times))
        return counts

    def served_share(self, since: float) -> float:
        """Return the served share of the requests sent since a time."""
        chosen = [
            exchange.served
            for exchange in self.exchanges
            if exchange.sent_at >= since
        ]
        return sum(chosen) / len(chosen)

    def _pair(self, event: TargetEvent) -> Pair:
        """Return the VM whose request an event is about, and the target."""
        vm, _ = self._sent[event.request_id]
        return vm, event.lifetime

    def _start(self, vm: str) -> None:
        """Send a request while others are served."""
        task = asyncio.create_task(self._send(vm))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _send(self, vm: str) -> None:
        """Send one request under a new id, and record its answer."""
        number = next(self._ids)
        request_id = f'r-{number}'
        subject = f'subject-{self.rng.randrange(SUBJECTS)}'
        headers = prompt_headers('first', subject, f'own-{number}')
        call = Call(
            self._path,
            body=b'%d' % number,
            key=self._key,
            request_id=request_id,
            deadline_ms='3000',
            extra_headers=headers if self.prompting else {},
        )
        sent_at = time.monotonic()
        self._sent[request_id] = (vm, sent_at)
        reply = await call_once(self.site.ports[vm], call)
        seconds = time.monotonic() - sent_at
        self.exchanges.append(Exchange(sent_at, seconds, reply))


__all__ = ('AnnouncingFleet', 'Exchange')
