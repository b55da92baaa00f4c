"""Validated models of the configuration document's sections."""

import datetime as dt
import enum
from typing import Annotated

import pydantic

Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,63}$')]
Digest = Annotated[str, pydantic.Field(pattern='^[0-9a-f]{64}$')]
Names = Annotated[
    tuple[Name, ...],
    pydantic.BeforeValidator(
        lambda raw: (
            tuple(raw.replace(',', ' ').split())
            if isinstance(raw, str)
            else raw
        ),
    ),
]


# The largest whole number that every JSON reader keeps exactly.
MAX_TOKENS = 2**53
MAX_TIMEOUT_S = 86_400


class Kind(enum.StrEnum):
    """What stands behind a pool."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Section(pydantic.BaseModel):
    """
    Base of all sections.

    :ivar owner: team that may change the section.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    owner: Name


class Budget(Section):
    """
    Prepaid tokens.

    :ivar opening_tokens: credited once, when the budget first appears;
        later credit comes from ``fuchsiafork budget top-up``.
    """

    opening_tokens: Annotated[int, pydantic.Field(ge=0, le=MAX_TOKENS)] = 0


class Account(Section):
    """
    A client account.

    :ivar budget: budget that its requests draw on.
    :ivar token_sha256: digest of its bearer token, hexadecimal.
    :ivar priority: 0 is served first.
    :ivar routes: routes that it may use; empty for all.
    """

    budget: Name
    token_sha256: Digest
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    routes: Names = ()


class Pool(Section):
    """
    Interchangeable targets in all failure domains.

    :ivar kind: ``engine`` or ``service``.
    :ivar spill_share: share of a domain's slots that others may use.
    """

    kind: Kind
    spill_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.2


class Route(Section):
    """
    What callers ask for.

    :ivar pool: pool that serves it.
    :ivar version: version that serves it unless a rollout says otherwise.
    :ivar max_output_tokens: bound of one answer.
    :ivar tokens_per_call: flat price of a service call.
    :ivar timeout_s: time for a whole request.
    :ivar idempotent_methods: methods of a service that may be repeated.
    :ivar prompt_bytes_per_token: lower bound that the engine's tokenizer
        keeps; 1 is safe for every tokenizer.
    """

    pool: Name
    version: Name
    max_output_tokens: Annotated[
        int,
        pydantic.Field(gt=0, le=1_000_000),
    ] = 1024
    tokens_per_call: Annotated[int, pydantic.Field(ge=0, le=MAX_TOKENS)] = 1
    timeout_s: Annotated[float, pydantic.Field(gt=0, le=MAX_TIMEOUT_S)] = 120
    idempotent_methods: Annotated[
        tuple[str, ...],
        pydantic.BeforeValidator(
            lambda raw: (
                tuple(raw.upper().replace(',', ' ').split())
                if isinstance(raw, str)
                else raw
            ),
        ),
    ] = ('GET', 'HEAD')
    prompt_bytes_per_token: pydantic.PositiveFloat = 1


class Version(Section):
    """
    A version of what a pool's targets run.

    :ivar pool: pool whose targets can run it.
    :ivar artifact: name of the weights or build that an order loads.
    """

    pool: Name
    artifact: str = ''


class Target(Section):
    """
    A back end.

    :ivar url: ``http://ip:port``.
    :ivar domain: failure domain of the target.
    :ivar version: version that it runs, or is to run.
    :ivar capacity: requests that it can hold at once.
    :ivar fenced: whether it refuses orders with an old fencing number.
    :ivar drain_at: time from which it gets no new work.
    """

    url: Annotated[str, pydantic.Field(pattern=r'^http://[^/\s]+$')]
    domain: Name
    version: Name
    capacity: Annotated[int, pydantic.Field(gt=0, le=10_000)]
    fenced: bool = False
    drain_at: pydantic.AwareDatetime | None = None


class Rollout(Section):
    """
    A move of a route from one version to another.

    :ivar route: route that moves.
    :ivar old: version that it leaves.
    :ivar new: version that it moves to.
    :ivar start: time from which the new version may get requests.
    :ivar deadline: time by which all requests go to the new version.
    :ivar max_error_share: share of failed requests of a good version.
    :ivar max_slowdown: factor by which a good version may be slower.
    :ivar take_back: set by an operator to end it by hand.
    """

    route: Name
    old: Name
    new: Name
    start: pydantic.AwareDatetime
    deadline: pydantic.AwareDatetime
    max_error_share: Annotated[float, pydantic.Field(gt=0, lt=1)] = 0.05
    max_slowdown: Annotated[float, pydantic.Field(gt=1)] = 2.0
    take_back: bool = False

    @pydantic.model_validator(mode='after')
    def _check_times(self) -> 'Rollout':
        """Return the section if it starts before its deadline."""
        if self.deadline <= self.start:
            raise ValueError('deadline must be after start')
        if self.old == self.new:
            raise ValueError('old and new must differ')
        return self

    def remaining_s(self, wall: float) -> float:
        """Return the seconds to the deadline at a Unix time."""
        now = dt.datetime.fromtimestamp(wall, dt.UTC)
        return (self.deadline - now).total_seconds()


class Document(pydantic.BaseModel):
    """One whole configuration."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    budgets: dict[Name, Budget] = {}
    accounts: dict[Name, Account] = {}
    pools: dict[Name, Pool] = {}
    routes: dict[Name, Route] = {}
    versions: dict[Name, Version] = {}
    targets: dict[Name, Target] = {}
    rollouts: dict[Name, Rollout] = {}
