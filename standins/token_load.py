"""Requests of client accounts, one of which jumps."""

import dataclasses
import itertools
import operator
import random
from collections.abc import Iterator

from standins.token_fleet import TokenRequest

ACCOUNTS = 24
# Requests of the other accounts for each one of the first ones.
LARGE_WEIGHTS = (6.0, 4.0, 3.0)
_DOMAINS = 'abc'


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """
    A kind of request.

    :ivar per_s: requests of all accounts a second.
    :ivar shared: tokens of the prompt that all requests have.
    :ivar own: mean of the other tokens of the prompt.
    :ivar largest: largest number of these.
    :ivar output: most tokens of the answer.
    """

    per_s: float
    shared: int
    own: int
    largest: int
    output: int
    hold_s: float
    limit_s: float

    @property
    def mean(self) -> float:
        """Mean of the tokens."""
        return self.shared + self.own + self.output


KINDS = (
    RequestKind(49.2, 5382, 6610, 54_600, 380, 2.5, 12.5),
    RequestKind(94.4, 198, 628, 6000, 290, 1.5, 10.0),
    RequestKind(87.8, 568, 1800, 16_000, 27, 0.6, 2.5),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Jump:
    """
    A time in which one account sends more.

    :ivar factor: multiple of its usual rate.
    """

    account: str
    start_s: float
    end_s: float
    factor: float


def account_weights() -> dict[str, float]:
    """Return the share of each account in all requests."""
    small = itertools.repeat(1.0, ACCOUNTS - len(LARGE_WEIGHTS))
    weights = (*LARGE_WEIGHTS, *small)
    total = sum(weights)
    return {
        f'account-{number}': weight / total
        for number, weight in enumerate(weights)
    }


def expected_use(seconds: float) -> dict[str, int]:
    """Return the tokens that each account uses in some seconds."""
    per_s = sum(kind.per_s * kind.mean for kind in KINDS)
    return {
        account: int(weight * per_s * seconds)
        for account, weight in account_weights().items()
    }


def make_requests(
    rng: random.Random, start_s: float, end_s: float, jump: Jump | None = None
) -> list[TokenRequest]:
    """Return the requests that arrive in some time, in order."""
    requests: list[TokenRequest] = []
    for account, weight in account_weights().items():
        own_jump = jump if jump and jump.account == account else None
        for kind in KINDS:
            per_s = weight * kind.per_s
            requests.extend(
                _requests_of(
                    rng, account, kind, per_s, (start_s, end_s), own_jump
                )
            )
    requests.sort(key=operator.attrgetter('at'))
    return requests


def _requests_of(
    rng: random.Random,
    account: str,
    kind: RequestKind,
    per_s: float,
    times: tuple[float, float],
    jump: Jump | None,
) -> Iterator[TokenRequest]:
    """Return the requests of one account and kind."""
    highest = per_s * (jump.factor if jump else 1.0)
    at, end_s = times
    while True:
        at += rng.expovariate(highest)
        if at >= end_s:
            return
        jumps = jump is not None and jump.start_s <= at < jump.end_s
        if jumps or rng.random() < per_s / highest:
            yield _make_request(rng, account, kind, at)


def _make_request(
    rng: random.Random, account: str, kind: RequestKind, at: float
) -> TokenRequest:
    """Return a request whose prompt has a random size."""
    own = min(kind.largest, int(_heavy_tailed(rng, kind.own)))
    prompt = kind.shared + own
    return TokenRequest(
        at,
        account,
        rng.choice(_DOMAINS),
        prompt + kind.output,
        prompt + int(kind.output * rng.uniform(0.2, 1)),
        kind.hold_s * rng.uniform(0.3, 1.7),
        kind.limit_s,
    )


def _heavy_tailed(rng: random.Random, mean: float) -> float:
    """
    Return a random size, of which the largest tenth makes about a half.

    :param mean: mean of the sizes, before the largest ones are cut off.
    """
    sigma = 1.28
    return mean * rng.lognormvariate(-sigma * sigma / 2, sigma)


__all__ = ('KINDS', 'Jump', 'account_weights', 'expected_use', 'make_requests')
