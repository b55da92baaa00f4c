"""The load of one service's targets, and the requests of this VM there."""

import math

from fuchsiafork.admission import AccountShares, PoolLoad
from fuchsiafork.balancing import LoadView
from fuchsiafork.gateway.target_gate import TargetGate
from fuchsiafork.kernel import Clock

# Time for which a sum of the load of all targets is used, and the same while
# less than half of the places are taken: with 600 targets, a sum takes about
# a millisecond.
REFRESH_S = 0.1
CALM_REFRESH_S = 0.5
# Requests of this priority are accepted by each target that accepts any.
_MOST_URGENT = 0


class ServicePool:
    """
    Places of one service.

    Requests of this VM count from when they get a place, those of other VMs as
    of the view.
    """

    def __init__(
        self,
        service: str,
        gate: TargetGate,
        view: LoadView,
        shares: AccountShares,
        clock: Clock,
    ) -> None:
        """Start without requests."""
        self._service = service
        self._gate = gate
        self._view = view
        self._shares = shares
        self._clock = clock
        # Requests that have places, and those of them that have yet to be sent.
        self._held = 0
        self._unsent = 0
        self._refreshed_at = -math.inf
        self._viewed_at = 0.0
        self._places = 0
        self._others = 0
        # Requests with places that are at targets that accept no more.
        self._elsewhere = 0

    def hold(self) -> None:
        """Count a request that gets a place."""
        self._held += 1
        self._unsent += 1

    def start_sending(self) -> None:
        """Count a request as sent."""
        self._unsent -= 1

    def release(self, *, sent: bool) -> None:
        """Count a request no more."""
        self._held -= 1
        if not sent:
            self._unsent -= 1

    def load(self) -> PoolLoad:
        """Return the load as far as it is known."""
        now = self._clock.now()
        if now - self._refreshed_at >= self._refresh_interval_s:
            self._refresh()
            self._refreshed_at = now
            self._viewed_at = now - self._view.fleet_age_s
        own = max(0, self._held - self._elsewhere)
        return PoolLoad(
            self._places,
            self._others + own,
            own,
            self._shares.own_share,
            self._viewed_at,
            now - self._viewed_at,
        )

    @property
    def _refresh_interval_s(self) -> float:
        """Time for which the sums are used."""
        taken = self._others + self._held
        return REFRESH_S if 2 * taken >= self._places else CALM_REFRESH_S

    def _refresh(self) -> None:
        """Sum up the load of the targets that accept requests."""
        states = self._gate.accepting_targets(self._service, _MOST_URGENT)
        self._places = sum(state.target.slots for state in states)
        lifetimes = [state.target.lifetime for state in states]
        view = self._view
        self._others = sum(
            view.load(lifetime).requests - view.own_load(lifetime).requests
            for lifetime in lifetimes
        )
        own = sum(state.in_flight for state in states)
        self._elsewhere = self._held - self._unsent - own


__all__ = ('ServicePool',)
