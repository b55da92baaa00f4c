"""
Model of engines under more load than they have places for; virtual time.

VMs decide on requests by the classes without I/O, with views of one another
that are some time old. Engines take more requests than they have places for,
and let those wait in order of arrival.
"""

import collections
import dataclasses
import functools
import itertools
import random
from collections.abc import Iterable, Mapping

from fuchsiafork.admission import (
    AccountShares,
    Changes,
    PoolLoad,
    PoolQueue,
    WaitingRequest,
    wait_limit_s,
)
from fuchsiafork.balancing import AccountUse, WorkCost
from standins.overload_types import QUIZ_KINDS, Ask, Kind, Surge
from standins.virtual import Scheduler, VirtualClock

VM_COUNT = 24
# Time between two exchanges of load between VMs, and the age of what arrives.
EXCHANGE_S = 0.5
VIEW_AGE_S = 0.25
TICK_S = 0.1
# Time after which the rate of arrivals is looked up again.
STEP_S = 0.25
PREFILL_TOKENS_PER_S = 55_000.0
OUTPUT_TOKENS_PER_S = 125.0
# Shape of the distribution of prompt sizes; the largest tenth holds about half
# of the tokens.
TAIL = 1.25
MAX_BODY_BYTES = 20_000_000
# Multiples of Retry-After between which callers return, and its limit as a
# part of the time left.
SPREAD = (0.7, 1.3)
MAX_RETRY_AFTER_PART = 0.3
DEFAULT_RETRY_AFTER_S = 0.4
HASTY_RETURN_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """
    What a VM learns of the others.

    :ivar in_flight: their requests at the engines.
    :ivar rates: use by account, work units a second.
    :ivar demand: use of all accounts.
    """

    in_flight: int
    rates: Mapping[str, float]
    demand: float
    taken_at: float


class ModelVm:
    """
    One VM with its view of the others.

    :ivar in_flight: its requests at the engines.
    """

    def __init__(self, clock: VirtualClock) -> None:
        """Start without requests, and without a view."""
        self.use = AccountUse(clock)
        self.shares = AccountShares(self.use, clock)
        self.queue = PoolQueue(self.shares, lambda: MAX_BODY_BYTES, clock)
        self.in_flight = 0
        self._clock = clock
        self._others = 0
        self._viewed_at = 0.0

    def apply_view(self, view: _View) -> None:
        """Replace what is known of the other VMs."""
        self._others = view.in_flight
        self._viewed_at = view.taken_at
        self.use.apply_fleet(view.rates, view.demand)

    def pool(self, places: int) -> PoolLoad:
        """Return the load as the VM knows it."""
        self.shares.update()
        return PoolLoad(
            places,
            self._others + self.in_flight,
            self.in_flight,
            self.shares.own_share,
            self._viewed_at,
            self._clock.now() - self._viewed_at,
        )


class OverloadedPool:
    """
    Runs callers, VMs and engines.

    :ivar asks: the requests of all callers.
    :ivar places: places of the engines that accept requests.
    :ivar most_waiting: highest number of requests that waited at one VM.
    :ivar waited: requests that did not pass at once.
    """

    def __init__(
        self,
        accounts: dict[str, float],
        places: int,
        vm_count: int = VM_COUNT,
        seed: int = 1,
        kinds: tuple[Kind, ...] = QUIZ_KINDS,
        *,
        admission: bool = True,
        by_objective: bool = True,
    ) -> None:
        """
        Start without load.

        :param accounts: part of the load that each account asks for.
        :param admission: whether requests wait at VMs at all.
        :param by_objective: whether they wait no longer than the objective.
        """
        self.asks: list[Ask] = []
        self.places = places
        self.most_waiting = 0
        self.waited = 0
        self._accounts = accounts
        self._kinds = kinds
        self._rng = random.Random(seed)
        self._clock = VirtualClock()
        self._scheduler = Scheduler(self._clock)
        self._vms = [ModelVm(self._clock) for _ in range(vm_count)]
        self._admission = admission
        self._by_objective = by_objective
        self._surges: tuple[Surge, ...] = ()
        self._busy = 0
        self._engine_queue: collections.deque[tuple[ModelVm, Ask]] = (
            collections.deque()
        )
        self._asks_by_request: dict[WaitingRequest, tuple[ModelVm, Ask]] = {}

    def run(self, seconds: float, surges: Iterable[Surge] = ()) -> None:
        """Run from the start for some seconds, and until all is answered."""
        self._surges = tuple(surges)
        for kind, account in itertools.product(self._kinds, self._accounts):
            self._schedule_next(kind, account, seconds)
        limit_s = seconds + max(kind.time_limit_s for kind in self._kinds)
        self._scheduler.call_later(0, lambda: self._exchange(limit_s))
        self._scheduler.call_later(0, lambda: self._tick(limit_s))
        self._scheduler.run_until(limit_s)

    def change_places(self, at_s: float, places: int) -> None:
        """Change the number of places at a time."""
        self._scheduler.call_later(at_s, lambda: self._set_places(places))

    def _set_places(self, places: int) -> None:
        """Change the number of places; requests in progress go on."""
        self.places = places
        self._start_queued()

    def _schedule_next(self, kind: Kind, account: str, end_s: float) -> None:
        """
        Schedule the next request of a kind and account.

        The rate may change meanwhile, so that a pause is drawn anew after a
        step, which doesn't change its distribution.
        """
        rate = kind.per_s * self._accounts[account] * self._factor(account)
        pause_s = self._rng.expovariate(rate)
        if self._clock.now() + min(pause_s, STEP_S) >= end_s:
            return
        if pause_s > STEP_S:
            again = functools.partial(self._schedule_next, kind, account, end_s)
            self._scheduler.call_later(STEP_S, again)
            return
        arrive = functools.partial(self._arrive, kind, account, end_s)
        self._scheduler.call_later(pause_s, arrive)

    def _factor(self, account: str) -> float:
        """Return how many times its usual an account asks for now."""
        now = self._clock.now()
        factors = (
            surge.factor
            for surge in self._surges
            if surge.applies(account, now)
        )
        return max(factors, default=1.0)

    def _arrive(self, kind: Kind, account: str, end_s: float) -> None:
        """Let a caller ask."""
        self._schedule_next(kind, account, end_s)
        smallest = kind.own_tokens * (TAIL - 1) / TAIL
        own = min(54_600, int(smallest * self._rng.paretovariate(TAIL)))
        cost = WorkCost(kind.shared_tokens + own, kind.output_tokens)
        ask = Ask(kind, account, cost, self._clock.now())
        self.asks.append(ask)
        self._send(ask)

    def _send(self, ask: Ask) -> None:
        """Send a request to a VM, drawn at random."""
        ask.attempts += 1
        now = self._clock.now()
        vm = self._rng.choice(self._vms)
        vm.use.record(ask.account, ask.cost.units)
        first_event_s = ask.cost.prompt_tokens / PREFILL_TOKENS_PER_S
        left_s = ask.deadline - now
        limit_s = wait_limit_s(
            ask.kind.objective_s if self._by_objective else left_s,
            left_s,
            first_event_s,
        )
        request = WaitingRequest(
            ask.account,
            ask.kind.priority,
            ask.cost.units,
            1000,
            now + limit_s,
        )
        self._asks_by_request[request] = (vm, ask)
        if not self._admission:
            self._apply(Changes(started=[request]))
            return
        changes = vm.queue.submit(request, vm.pool(self.places))
        self._apply(changes)
        self.waited += request in self._asks_by_request
        self.most_waiting = max(self.most_waiting, len(vm.queue))

    def _apply(self, changes: Changes) -> None:
        """Start requests, and tell the callers of the others."""
        for request in changes.started:
            vm, ask = self._asks_by_request.pop(request)
            vm.in_flight += 1
            self._engine_queue.append((vm, ask))
        self._start_queued()
        for refused, refusal in changes.refused:
            _, ask = self._asks_by_request.pop(refused)
            self._return_later(ask, refusal.retry_after_s)

    def _return_later(self, ask: Ask, retry_after_s: float | None) -> None:
        """Let a refused caller send its request again, if it has the time."""
        now = self._clock.now()
        suggested = retry_after_s or DEFAULT_RETRY_AFTER_S
        delay_s = min(
            suggested * self._rng.uniform(*SPREAD),
            MAX_RETRY_AFTER_PART * (ask.deadline - now),
        )
        hasty = any(
            surge.hasty and surge.applies(ask.account, now)
            for surge in self._surges
        )
        if hasty:
            delay_s = HASTY_RETURN_S
        if now + delay_s < ask.deadline - HASTY_RETURN_S:
            self._scheduler.call_later(delay_s, lambda: self._send(ask))

    def _start_queued(self) -> None:
        """Let engines begin with the requests that they have places for."""
        while self._engine_queue and self._busy < self.places:
            vm, ask = self._engine_queue.popleft()
            if self._clock.now() >= ask.deadline:
                vm.in_flight -= 1
                vm.queue.record_end()
                continue
            self._begin(vm, ask)

    def _begin(self, vm: ModelVm, ask: Ask) -> None:
        """Serve a request."""
        self._busy += 1
        prefill_s = ask.cost.prompt_tokens / PREFILL_TOKENS_PER_S
        write_s = ask.cost.output_tokens / OUTPUT_TOKENS_PER_S
        ask.first_event_at = self._clock.now() + prefill_s
        self._scheduler.call_later(prefill_s + write_s, lambda: self._end(vm))

    def _end(self, vm: ModelVm) -> None:
        """End a request."""
        self._busy -= 1
        vm.in_flight -= 1
        vm.queue.record_end()
        self._start_queued()
        self._apply(vm.queue.advance(vm.pool(self.places)))

    def _tick(self, end_s: float) -> None:
        """Let each VM look whether places became free elsewhere."""
        for vm in self._vms:
            if len(vm.queue):
                self._apply(vm.queue.advance(vm.pool(self.places)))
        if self._clock.now() < end_s:
            self._scheduler.call_later(TICK_S, lambda: self._tick(end_s))

    def _exchange(self, end_s: float) -> None:
        """Tell each VM, a little later, what the others have now."""
        for vm in self._vms:
            others = [other for other in self._vms if other is not vm]
            rates: collections.Counter[str] = collections.Counter()
            for other in others:
                rates.update(other.use.own_rates())
            view = _View(
                sum(other.in_flight for other in others),
                rates,
                sum(other.use.demand for other in others),
                self._clock.now(),
            )
            self._scheduler.call_later(
                VIEW_AGE_S * self._rng.uniform(0.4, 1.0),
                functools.partial(vm.apply_view, view),
            )
        if self._clock.now() < end_s:
            self._scheduler.call_later(
                EXCHANGE_S, functools.partial(self._exchange, end_s)
            )


__all__ = ('OverloadedPool',)
