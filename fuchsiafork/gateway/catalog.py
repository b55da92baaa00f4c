"""What operators have configured, in the form that requests are served by."""

import dataclasses
import enum
import hashlib
import random

from fuchsiafork.transport.caller import CallerLimits


class CallKind(enum.Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """
    Where the requests of one host and path prefix go.

    :ivar timeout_s: longest time until the final answer.
    :ivar slo_s: latency objective up to the answer, or the first event.
    :ivar gap_s: longest pause between events that is on time, 0 if unknown.
    :ivar priority: rank of its requests, 0 first.
    :ivar max_targets: targets to which one request may be sent.
    :ivar affinity: whether requests name the parts of their prompt.
    :ivar resumable: whether a stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    slo_s: float
    priority: int
    splits: tuple[Split, ...]
    max_targets: int
    public: bool
    affinity: bool
    resumable: bool
    gap_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        if self.kind is CallKind.STREAM:
            return self.resumable
        return self.kind is CallKind.IDEMPOTENT

    def pick_service(self, chance: random.Random) -> str:
        """Return the service of one request, by the weights of the split."""
        if len(self.splits) == 1:
            return self.splits[0].service
        weights = [split.weight for split in self.splits]
        return chance.choices(self.splits, weights)[0].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """
    Interchangeable targets.

    :ivar event_tokens: most tokens in one event of a stream, 0 if the
        targets are no engines.
    """

    name: str
    event_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """
    A client account.

    :ivar priority: rank of its requests instead of the route's, if any.
    :ivar prepaid: tokens that it may consume, None if it isn't bounded.
    """

    name: str
    priority: int | None = None
    prepaid: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """
    One version of the configuration.

    :ivar routes: by host, longest prefix first.
    :ivar accounts: by digest of the key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts: dict[bytes, Account]
    limits: CallerLimits
    keyed: bool

    @property
    def prepaid(self) -> dict[str, int]:
        """Prepaid tokens by account, for those that have a bound."""
        return {
            account.name: account.prepaid
            for account in self.accounts.values()
            if account.prepaid is not None
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        name = host.rsplit(':', 1)[0].lower()
        for route in self.routes.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str) -> Account | None:
        """Return the account that a key belongs to."""
        return self.accounts.get(digest_key(key))


def digest_key(key: str) -> bytes:
    """Return what is kept of a key."""
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
