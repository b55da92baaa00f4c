"""Pydantic models of the configuration document and its sections."""

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


# The largest integer that every JSON reader represents exactly.
MAX_TOKENS = 2**53
MAX_TIMEOUT_S = 86_400


class Kind(enum.StrEnum):
    """Type of the targets in a pool."""

    ENGINE = 'engine'
    SERVICE = 'service'


class Section(pydantic.BaseModel):
    """
    Base class of all sections.

    :ivar owner: team that may change the section.
    """

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    owner: Name


class Budget(Section):
    """
    Prepaid tokens.

    :ivar opening_tokens: tokens credited once, when the budget first appears;
        later credit is added with ``fuchsiafork budget top-up``.
    """

    opening_tokens: Annotated[int, pydantic.Field(ge=0, le=MAX_TOKENS)] = 0


class Account(Section):
    """
    A client account.

    :ivar budget: budget that the tokens of its requests are charged to.
    :ivar token_sha256: SHA-256 digest of its bearer token, hexadecimal.
    :ivar priority: queue priority; 0 is served first.
    :ivar routes: routes that it may use; empty means all.
    """

    budget: Name
    token_sha256: Digest
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    routes: Names = ()


class Pool(Section):
    """
    Interchangeable targets in all failure domains.

    :ivar kind: type of its targets, ``engine`` or ``service``.
    :ivar spill_share: share of a failure domain's slots that requests from
        other failure domains may use.
    """

    kind: Kind
    spill_share: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.2


class Route(Section):
    """
    An engine model or service that callers name in their requests.

    :ivar pool: pool that serves it.
    :ivar version: version that serves it unless a rollout selects another.
    :ivar max_output_tokens: maximum output tokens of one response.
    :ivar tokens_per_call: fixed price of a service call, in tokens.
    :ivar timeout_s: time limit of a whole request, in seconds.
    :ivar idempotent_methods: HTTP methods of a service that may be retried.
    :ivar prompt_bytes_per_token: lower bound of the prompt bytes per token of
        the engine's tokenizer; 1 is safe for every tokenizer.
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
    A version of the model or service that a pool's targets run.

    :ivar pool: pool whose targets can run it.
    :ivar artifact: name of the weights or build that a load order names.
    """

    pool: Name
    artifact: str = ''


class Target(Section):
    """
    A model engine or plain service of a pool.

    :ivar url: ``http://ip:port``.
    :ivar domain: failure domain of the target.
    :ivar version: version that it runs or has to load.
    :ivar capacity: maximum number of concurrent requests.
    :ivar fenced: whether it refuses orders with an outdated fencing token.
    :ivar drain_at: time from which it gets no new requests.
    """

    url: Annotated[str, pydantic.Field(pattern=r'^http://[^/\s]+$')]
    domain: Name
    version: Name
    capacity: Annotated[int, pydantic.Field(gt=0, le=10_000)]
    fenced: bool = False
    drain_at: pydantic.AwareDatetime | None = None


class Rollout(Section):
    """
    A gradual switch of a route from one version to another.

    :ivar route: route that is switched.
    :ivar old: version before the rollout.
    :ivar new: version after the rollout.
    :ivar start: time from which the new version may receive requests.
    :ivar deadline: time by which all requests go to the new version.
    :ivar max_error_share: highest share of failed requests at which the new
        version counts as good.
    :ivar max_slowdown: highest latency relative to the old version at which
        the new version counts as good.
    :ivar take_back: set by an operator to roll back manually.
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
        """Check the order of the times and that the versions differ."""
        if self.deadline <= self.start:
            raise ValueError('deadline must be after start')
        if self.old == self.new:
            raise ValueError('old and new must differ')
        return self

    def remaining_s(self, unix_time_s: float) -> float:
        """Return the seconds to the deadline at a Unix time."""
        now = dt.datetime.fromtimestamp(unix_time_s, dt.UTC)
        return (self.deadline - now).total_seconds()


class Document(pydantic.BaseModel):
    """A whole configuration document."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)

    budgets: dict[Name, Budget] = {}
    accounts: dict[Name, Account] = {}
    pools: dict[Name, Pool] = {}
    routes: dict[Name, Route] = {}
    versions: dict[Name, Version] = {}
    targets: dict[Name, Target] = {}
    rollouts: dict[Name, Rollout] = {}
