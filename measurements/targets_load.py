"""Workload and configuration of the targets measurement."""

import dataclasses
import random

from fuchsiafork.configuration import (
    Account,
    Document,
    Pool,
    Route,
    Target,
    Version,
)
from fuchsiafork.configuration.document import Kind
from standins.engine_types import EngineSettings, Submission

ENGINE = EngineSettings(cache_blocks=400, event_gap=0.02)
SERVICE = EngineSettings(capacity=4, cache_blocks=1, report_lag_s=0.2)

_OWNER = 'operations'
_DIGEST = '0' * 64
_CONVERSATIONS = 60
_LONGEST_TURN = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """
    One user's machines.

    :ivar vms: number of VMs in each failure domain.
    :ivar engines: number of model engines in each failure domain.
    :ivar services: number of plain services in each failure domain.
    """

    vms: tuple[int, ...]
    engines: tuple[int, ...]
    services: tuple[int, ...]

    @property
    def domains(self) -> tuple[str, ...]:
        """Names of the failure domains."""
        return tuple('abcdefgh'[: len(self.vms)])


SITES = (
    Site(vms=(3, 2, 2), engines=(2, 2, 2), services=(1, 1, 1)),
    Site(vms=(2, 2, 2, 2), engines=(2, 2, 1, 1), services=(1, 1, 1, 1)),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request of a caller."""

    submission: Submission
    account: str
    deadline_s: float


def make_document(site: Site) -> Document:
    """Return the configuration of a site."""
    targets = {
        **_make_targets(site, 'engine', site.engines),
        **_make_targets(site, 'service', site.services),
    }
    accounts = {
        f'account-{number}': Account(
            owner=_OWNER,
            budget='all',
            token_sha256=_DIGEST,
        )
        for number in range(10)
    }
    kinds = ('engine', 'service')
    return Document(
        accounts=accounts,
        pools={name: Pool(owner=_OWNER, kind=Kind(name)) for name in kinds},
        versions={
            f'{pool}-v1': Version(owner=_OWNER, pool=pool) for pool in kinds
        },
        routes={
            route: Route(owner=_OWNER, pool=route, version=f'{route}-v1')
            for route in kinds
        },
        targets=targets,
    )


def _make_targets(
    site: Site,
    kind: str,
    counts: tuple[int, ...],
) -> dict[str, Target]:
    """Return the targets of one kind in all failure domains."""
    names = [
        f'{domain}-{kind}-{index}'
        for domain, count in zip(site.domains, counts, strict=True)
        for index in range(count)
    ]
    return {
        name: Target(
            owner=_OWNER,
            url=f'http://{name}:1',
            domain=name[0],
            version=f'{kind}-v1',
            capacity=settings_of(kind).capacity,
        )
        for name in names
    }


def settings_of(name: str) -> EngineSettings:
    """Return the settings of a target by its name."""
    return ENGINE if 'engine' in name else SERVICE


class Workload:
    """Conversations of ten accounts, two of them large."""

    def __init__(self, chance: random.Random) -> None:
        """Draw from ``chance``."""
        self._chance = chance
        self._turns = dict.fromkeys(range(_CONVERSATIONS), 0)
        self._number = 0

    def next_call(self) -> Call:
        """Return the next request; one in five goes to a plain service."""
        self._number += 1
        number = min(int(self._chance.expovariate(0.35)), 9)
        account = f'account-{number}'
        if self._chance.random() < 0.2:
            submission = Submission(
                f'request-{self._number}',
                output_tokens=self._chance.randint(2, 20),
                priority=5,
                route='service',
            )
            return Call(submission, account, 5)
        return Call(self._prompt(), account, 10)

    def _prompt(self) -> Submission:
        """Return the next turn of a conversation."""
        popular = int(self._chance.expovariate(1 / 15))
        conversation = popular % _CONVERSATIONS
        turn = self._turns[conversation] + 1
        self._turns[conversation] = turn % _LONGEST_TURN
        prefixes = tuple(conversation * 1000 + one for one in range(turn + 2))
        long = self._chance.random() < 0.2
        block = ENGINE.block_tokens
        return Submission(
            f'request-{self._number}',
            prompt_tokens=len(prefixes) * block + self._chance.randint(1, 60),
            output_tokens=self._chance.randint(20, 400 if long else 80),
            prefixes=prefixes,
            priority=self._chance.choice((1, 5, 5, 9)),
            route='engine',
        )
