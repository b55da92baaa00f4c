"""Random faults on a fleet, for the long run and the state machine."""

import random
from collections.abc import Callable

from measurements.budgets_ends import Request
from measurements.budgets_fleet import Fleet
from standins.virtual import Faults

LAYOUT = {'a': 3, 'b': 2, 'c': 1}
BUDGETS = {'large': 60_000, 'small': 3_000}
QUIET_S = 60.0
_MOST_DOWN = 2


class FaultyFleet:
    """A fleet to which anything of the failure model happens."""

    def __init__(self, seed: int) -> None:
        """Start the fleet and let it find itself."""
        self.fleet = Fleet(LAYOUT, BUDGETS, seed, Faults())
        self.fleet.run(2)
        self.lost_router = False
        self._down: set[str] = set()
        self._requests = 0
        self._changes = 0

    def call(self, vm: str, budget: str, tokens: int, share: float) -> None:
        """Let a caller send requests of a size."""
        for _ in range(3):
            self._requests += 1
            self.fleet.call(
                Request(
                    self._requests,
                    self.fleet.clock.now(),
                    vm,
                    budget,
                    tokens,
                    round(tokens * share),
                    3 * share,
                ),
            )

    def run(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    def pause(self, vm: str) -> None:
        """Pause or resume a keeper, which may outlast its lease."""
        node = f'{vm}/keeper'
        if node in self.fleet.network.paused:
            self.fleet.network.resume(node)
            return
        self.fleet.network.pause(node)

    def crash(self, vm: str, *, router: bool, keeper: bool) -> None:
        """Lose processes of a VM; a later call starts them again."""
        if vm in self._down:
            self._restart(vm)
            return
        if len(self._down) >= _MOST_DOWN:
            return
        self._down.add(vm)
        if keeper:
            self.fleet.network.kill(f'{vm}/keeper')
            self.fleet.keepers.pop(vm)
        if router:
            self.lost_router = True
            self.fleet.network.kill(f'{vm}/router')
            self.fleet.routers.pop(vm)

    def cut(self, domain: str) -> None:
        """Cut a domain off, or heal all cuts."""
        network = self.fleet.network
        if network.partitioned_pairs:
            network.heal()
        else:
            network.isolate(domain)

    def store_outage(self) -> None:
        """Stop or start the store."""
        faults = self.fleet.network.faults
        faults.store_down = not faults.store_down

    def links(self, *, bad: bool) -> None:
        """Make links and store answers lossy, or good again."""
        faults = self.fleet.network.faults
        faults.drop = 0.1 if bad else 0
        faults.duplicate = 0.2 if bad else 0
        faults.delay_s = (0.0005, 0.3) if bad else (0.0005, 0.003)
        faults.store_lost_answer = 0.3 if bad else 0

    def top_up(self, budget: str, tokens: int, change: int) -> None:
        """Credit a budget, or repeat an earlier change."""
        self.fleet.top_up(budget, tokens, f'change-{change}')

    def settle_down(self) -> None:
        """End all faults and give the fleet time to come to rest."""
        self.fleet.network.heal()
        self.fleet.network.faults.store_down = False
        self.links(bad=False)
        for node in list(self.fleet.network.paused):
            self.fleet.network.resume(node)
        for vm in list(self._down):
            self._restart(vm)
        self.fleet.run(QUIET_S)

    def problems(self) -> list[str]:
        """Return what must not be, by the target's own count."""
        spent = self.fleet.target.spent
        found = [
            f'{name!r}: spent {spent[name]!r} of {prepaid!r}'
            for name, prepaid in self.fleet.prepaid.items()
            if spent[name] > prepaid
        ]
        for name, row in self.fleet.rows().items():
            billed = row.settled + row.duplicate
            if billed > spent[name]:
                found.append(f'{name!r}: billed {billed!r}')
        return found

    def unbilled(self) -> dict[str, int]:
        """Return tokens that were spent and are not in the ledger."""
        return {
            name: self.fleet.target.spent[name] - row.settled - row.duplicate
            for name, row in self.fleet.rows().items()
        }

    def _restart(self, vm: str) -> None:
        """Start what is missing on a VM."""
        self._down.discard(vm)
        if vm not in self.fleet.routers:
            self.fleet.start_router(vm)
        if vm not in self.fleet.keepers:
            self.fleet.start_keeper(vm)


def run_faults(seed: int, steps: int) -> dict[str, object]:
    """Return what a random run of faults came to."""
    chance = random.Random(seed)
    faulty = FaultyFleet(seed)
    vms = list(faulty.fleet.domains)
    actions: list[Callable[[], None]] = [
        lambda: faulty.pause(chance.choice(vms)),
        lambda: faulty.crash(
            chance.choice(vms),
            router=chance.random() < 0.5,
            keeper=True,
        ),
        lambda: faulty.cut(chance.choice(list(LAYOUT))),
        faulty.store_outage,
        lambda: faulty.links(bad=chance.random() < 0.5),
        lambda: faulty.top_up(
            chance.choice(list(BUDGETS)),
            chance.randint(1, 4000),
            chance.randint(1, 20),
        ),
    ]
    problems: list[str] = []
    for _ in range(steps):
        if chance.random() < 0.2:
            chance.choice(actions)()
        faulty.call(
            chance.choice(vms),
            chance.choice(list(BUDGETS)),
            chance.randint(10, 900),
            chance.uniform(0.1, 1),
        )
        faulty.run(chance.choice((0.05, 0.5, 3)))
        problems.extend(faulty.problems())
    faulty.settle_down()
    problems.extend(faulty.problems())
    unbilled = sum(faulty.unbilled().values())
    if unbilled and not faulty.lost_router:
        problems.append(f'unbilled {unbilled!r}')
    return {
        'steps': steps,
        'served': faulty.fleet.served,
        'refused': len(faulty.fleet.refused),
        'overspend_tokens': faulty.fleet.overspent,
        'problems': problems[:5],
        'unbilled': unbilled,
        'withheld': faulty.fleet.withheld(),
        'lost_router': faulty.lost_router,
    }
