"""Reserves, settles and transfers the tokens of one process; does no I/O."""

import math
from collections.abc import Callable

from fuchsiafork.kernel import Clock
from fuchsiafork.prepaid.account_state import AccountState
from fuchsiafork.prepaid.changes import LedgerChange, Reservation
from fuchsiafork.prepaid.demand import DEMAND_TIME_CONSTANT_S
from fuchsiafork.prepaid.ledger import RAMP_END_S
from fuchsiafork.prepaid.waiting import WaitingRequest

# A VM that requests tokens also gets the available tokens divided by this, so
# that it doesn't have to ask again for each request.
EXTRA_TRANSFER_DIVISOR = 4
# Accuracy of the time until tokens of a share may be spent.
SHARE_TIME_STEP_S = 0.005


class TokenSpending:
    """
    Spends what the shares of one process allow.

    The shares are those of the last write that is known to be stored, and of
    writes whose outcome is unknown.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without tokens."""
        self._clock = clock
        self._states: dict[str, AccountState] = {}
        self._unconfirmed: list[LedgerChange] = []
        self._written_at = clock.now()
        self._stopping = False
        self._demand_history_s = 0.0

    @property
    def has_shortage(self) -> bool:
        """Whether requests wait, or were refused since the last write."""
        return any(state.shortage for state in self._states.values())

    def begin_shutdown(self) -> None:
        """Limit grants to the open reservations from the next write on."""
        self._stopping = True

    def available(self, account: str, after_s: float = 0.0) -> int:
        """
        Return the tokens that may be reserved now.

        While the outcome of a write is unknown, this is the minimum of the
        tokens that are spendable with and without the write.

        :param after_s: seconds after which nothing else has changed.
        """
        state = self._states.get(account)
        if state is None or state.frozen:
            return 0
        now = self._clock.now() + after_s
        minimum = state.share.spendable(now - self._written_at)
        for change in self._unconfirmed:
            account_change = change.accounts.get(account)
            spendable_after = (
                account_change.used
                + account_change.share.spendable(now - change.written_at)
                if account_change
                else 0
            )
            minimum = min(minimum, spendable_after)
        return minimum - state.used - state.reserved

    def seconds_until(self, account: str, tokens: int) -> float | None:
        """
        Return the time after which some tokens are available.

        :return: seconds, None if the share doesn't cover them.
        """
        earlier_s, later_s = 0.0, RAMP_END_S
        if self.available(account, later_s) < tokens:
            return None
        while later_s - earlier_s > SHARE_TIME_STEP_S:
            middle_s = (earlier_s + later_s) / 2
            if self.available(account, middle_s) < tokens:
                earlier_s = middle_s
            else:
                later_s = middle_s
        return later_s

    def missing(self, account: str) -> int:
        """Return the tokens that waiting requests need besides those here."""
        needed = sum(request.tokens for request in self.waiting(account))
        return max(0, needed - max(0, self.available(account)))

    def reserve(self, account: str, tokens: int) -> Reservation | None:
        """
        Return a reservation, None if too few tokens are available.

        The next write makes room for the largest one that was refused.
        """
        state = self._states.setdefault(account, AccountState())
        if self.available(account) < tokens:
            state.refused = max(state.refused, tokens)
            return None
        state.demand.record(tokens, self._clock.now())
        return state.reserve(account, tokens)

    def wait(
        self,
        account: str,
        tokens: int,
        deadline: float,
        on_end: Callable[[], object],
    ) -> WaitingRequest:
        """
        Return a request that is served as soon as there are enough tokens.

        The next write makes room for all requests that wait. Each counts as
        demand once. They are served in order, but one that needs fewer tokens
        may be served before others.

        :param deadline: time until which it waits, seconds since boot.
        :param on_end: called once it is served or refused.
        """
        state = self._states.setdefault(account, AccountState())
        state.demand.record(tokens, self._clock.now())
        request = WaitingRequest(account, tokens, deadline, on_end)
        state.waiting.append(request)
        self.serve_waiting(account)
        if not request.ended:
            state.demand.record_unmet()
        return request

    def stop_waiting(self, request: WaitingRequest) -> None:
        """End the wait of a request; it keeps its reservation, if any."""
        request.stopped = True
        waiting = self._states[request.account].waiting
        if request in waiting:
            waiting.remove(request)

    def serve_waiting(self, account: str) -> None:
        """Reserve tokens for the waiting requests for which they suffice."""
        state = self._states.get(account)
        if state is None or not state.waiting:
            return
        available = self.available(account)
        for request in tuple(state.waiting):
            if request.tokens <= available and not request.ended:
                available -= request.tokens
                state.waiting.remove(request)
                request.serve(state.reserve(account, request.tokens))

    def waiting(self, account: str) -> list[WaitingRequest]:
        """Return the requests that wait, in order of arrival."""
        state = self._states.get(account)
        if state is None:
            return []
        return [request for request in state.waiting if not request.ended]

    def settle(self, reservation: Reservation, tokens: int) -> None:
        """Close a reservation and charge the actual cost of the request."""
        if not reservation.open:
            return
        reservation.open = False
        state = self._states[reservation.account]
        state.reserved -= reservation.tokens
        cost = min(tokens, reservation.tokens)
        state.used += cost
        state.demand.correct(cost - reservation.tokens)
        self.serve_waiting(reservation.account)

    def transfer_out(self, account: str, tokens: int) -> int:
        """
        Transfer available tokens to another VM and return how many.

        They are counted as used by the sender and as unused by the receiver.
        The sum in the ledger stays the same whichever of the two writes
        first. A lost response strands tokens but never duplicates them. During
        shutdown, all available tokens are transferred.
        """
        available = self.available(account)
        if self._stopping:
            transferred = available
        else:
            transferred = min(
                available, tokens + available // EXTRA_TRANSFER_DIVISOR
            )
        if transferred < min(tokens, 1):
            return 0
        self._states[account].used += transferred
        return transferred

    def transfer_in(self, account: str, tokens: int) -> None:
        """Add tokens transferred from another VM."""
        self._states.setdefault(account, AccountState()).used -= tokens
        self.serve_waiting(account)

    def withdraw_unused(self) -> dict[str, int]:
        """Remove all available tokens and return them by account."""
        unused = {
            account: self.available(account)
            for account in self._states
            if self.available(account) > 0
        }
        for account, tokens in unused.items():
            self._states[account].used += tokens
        return unused

    def update_demand(self, elapsed_s: float) -> None:
        """Update the average demand for the time since the last call."""
        if elapsed_s <= 0:
            return
        if self._demand_history_s or any(
            state.demand.started for state in self._states.values()
        ):
            self._demand_history_s += elapsed_s
        # Gives an arithmetic mean while there is only a short history.
        weight = max(
            1 - math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S),
            min(1.0, elapsed_s / max(self._demand_history_s, elapsed_s)),
        )
        now = self._clock.now()
        for state in self._states.values():
            state.demand.update(elapsed_s, weight, now)

    def _serve_all(self) -> None:
        """Serve the waiting requests of all accounts."""
        for account in self._states:
            self.serve_waiting(account)


__all__ = ('TokenSpending',)
