"""Requests of callers of engines, and times in which they ask for more."""

import dataclasses

from fuchsiafork.balancing import WorkCost


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """
    A kind of requests.

    :ivar per_s: usual rate over all accounts and VMs.
    :ivar shared_tokens: prompt tokens that all of its requests have.
    :ivar own_tokens: mean of the other prompt tokens.
    """

    name: str
    priority: int
    per_s: float
    shared_tokens: int
    own_tokens: int
    output_tokens: int
    objective_s: float
    time_limit_s: float


# Three eighths of the quiz league, with as much load a VM.
QUIZ_KINDS = (
    Kind('round-gen', 0, 16.2, 5382, 6610, 384, 1.045, 12.5),
    Kind('tiebreak', 1, 26.8, 198, 628, 288, 1.219, 8.0),
    Kind('answer-check', 2, 23.6, 568, 1800, 24, 2.022, 3.0),
)


@dataclasses.dataclass(eq=False, slots=True)
class Ask:
    """
    One request of a caller, with all of its repetitions.

    :ivar first_event_at: time of the first event, negative without one.
    :ivar attempts: requests that the caller sent for it.
    """

    kind: Kind
    account: str
    cost: WorkCost
    arrived_at: float
    first_event_at: float = -1.0
    attempts: int = 0

    @property
    def served(self) -> bool:
        """Whether it was answered."""
        return self.first_event_at >= 0

    @property
    def on_time(self) -> bool:
        """Whether its first event came within the objective."""
        latest = self.arrived_at + self.kind.objective_s
        return 0 <= self.first_event_at <= latest

    @property
    def deadline(self) -> float:
        """Time after which the caller doesn't wait."""
        return self.arrived_at + self.kind.time_limit_s


@dataclasses.dataclass(frozen=True, slots=True)
class Surge:
    """
    A time in which accounts ask for more than usual.

    :ivar accounts: those that do, all if empty.
    :ivar hasty: whether they return at once after each refusal.
    """

    start_s: float
    end_s: float
    factor: float
    accounts: frozenset[str] = frozenset()
    hasty: bool = False

    def applies(self, account: str, now: float) -> bool:
        """Return whether an account asks for more at a time."""
        named = not self.accounts or account in self.accounts
        return named and self.start_s <= now < self.end_s


__all__ = ('QUIZ_KINDS', 'Ask', 'Kind', 'Surge')
