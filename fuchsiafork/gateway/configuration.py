"""The configuration, in the form in which requests are routed."""

import dataclasses
import enum
import hashlib
import random

from fuchsiafork.transport.caller import CallerLimits


class CallKind(enum.Enum):
    """Retry semantics of a route's requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Share of a route's requests that is sent to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """
    How the requests of one host and path prefix are routed.

    :ivar timeout_s: time limit of the complete answer.
    :ivar latency_objective_s: seconds to the answer, or to its first event.
    :ivar event_gap_objective_s: seconds between two events, 0 if unknown.
    :ivar priority: priority of its requests, 0 is the highest.
    :ivar max_targets: targets to which one request may be sent.
    :ivar affinity: whether requests with a common prompt part prefer the
        same target.
    :ivar resumable: whether another target may continue a stream.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    splits: tuple[Split, ...]
    max_targets: int
    public: bool
    affinity: bool
    resumable: bool
    event_gap_objective_s: float = 0.0

    @property
    def retryable(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT

    def pick_service(self, rng: random.Random) -> str:
        """Return a random service, by the weights of the splits."""
        if len(self.splits) == 1:
            return self.splits[0].service
        weights = [split.weight for split in self.splits]
        return rng.choices(self.splits, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """
    A group of interchangeable targets.

    :ivar event_tokens: maximum number of tokens in one event of a stream, 0
        if the targets are not engines.
    :ivar slots: requests that an engine serves at a time, 0 if unknown; the
        entries of the targets name their own.
    :ivar memory_tokens: tokens that the memory of an engine holds, 0 if
        unknown.
    """

    name: str
    event_tokens: int = 0
    slots: int = 0
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """
    A client account.

    :ivar priority: overrides the priority of the route, unless None.
    :ivar prepaid: limit of tokens that it may consume, None if unlimited.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """
    One version of the configuration.

    :ivar routes: by host, longest prefix first.
    :ivar accounts: by digest of the key.
    :ivar requires_key: whether requests need a key, except on public routes.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[bytes, Account]
    limits: CallerLimits
    requires_key: bool

    @property
    def prepaid(self) -> dict[str, int]:
        """Prepaid tokens by name of the account, limited accounts only."""
        return {
            account.name: account.prepaid
            for account in self.accounts.values()
            if account.prepaid is not None
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if any."""
        name = host.rsplit(':', 1)[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that a key belongs to, if any."""
        return self.accounts.get(digest_key(key))


def digest_key(key: str) -> bytes:
    """Return the digest that is kept in place of a key."""
    return hashlib.blake2b(key.encode(), digest_size=16).digest()


def sort_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host.lower(), []).append(route)
    return {
        host: tuple(sorted(found, key=_prefix_length, reverse=True))
        for host, found in hosts.items()
    }


def _prefix_length(route: Route) -> int:
    """Return the length of a route's prefix."""
    return len(route.prefix)
