"""The places of a service, and when a request of this VM gets one."""

import dataclasses
import math

# Part of the places that accounts over their share may not take.
RESERVED_PART = 0.1
# Difference of the times of two views that are the same, seconds.
_SAME_VIEW_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad:
    """
    Load of the targets of a service that accept requests.

    :ivar places: requests that they serve at a time.
    :ivar in_flight: requests that they have, from all VMs.
    :ivar own: those of them that this VM has sent, or is about to send.
    :ivar own_share: share of this VM in the demand of the fleet.
    :ivar viewed_at: time to which the requests of other VMs belong, seconds.
    :ivar age_s: time since then.
    """

    places: int
    in_flight: int
    own: int
    own_share: float
    viewed_at: float
    age_s: float = 0.0

    @property
    def free(self) -> int:
        """Number of places that no request takes."""
        return max(0, self.places - self.in_flight)

    @property
    def own_places(self) -> int:
        """Places that this VM may take while the pool is full."""
        return max(1, math.ceil(self.places * self.own_share))

    def without_reserve(self) -> 'PoolLoad':
        """Return the load as accounts over their share see it."""
        return dataclasses.replace(
            self, places=math.ceil(self.places * (1 - RESERVED_PART))
        )

    def after_start(self) -> 'PoolLoad':
        """Return the load with one more request of this VM."""
        return dataclasses.replace(
            self, in_flight=self.in_flight + 1, own=self.own + 1
        )


class PlaceRule:
    """
    Decides whether a request of this VM gets a place.

    While requests wait, the VMs see the same free places for as long as their
    views age. Each then takes its share of them, and once more with the next
    view.
    """

    def __init__(self) -> None:
        """Start without a view."""
        self._viewed_at = -math.inf
        # Requests in flight up to which this VM takes free places.
        self._limit = 0

    def has_place(
        self, pool: PoolLoad, *, waiting: bool, over: bool = False
    ) -> bool:
        """
        Return whether a request gets a place now.

        Without any accepting target it does, so that it is refused for that.

        :param waiting: whether it waits, or others do.
        :param over: whether its account is over its share.
        """
        self._record_view(pool)
        usable = pool.without_reserve() if over else pool
        if not usable.places or usable.own < usable.own_places:
            return True
        return bool(usable.free) and (not waiting or pool.own < self._limit)

    def _record_view(self, pool: PoolLoad) -> None:
        """Take this VM's share of the places that a new view shows as free."""
        if pool.viewed_at <= self._viewed_at + _SAME_VIEW_S:
            return
        self._viewed_at = pool.viewed_at
        share = math.ceil(pool.free * pool.own_share)
        self._limit = pool.own + max(1, share)


__all__ = ('PlaceRule', 'PoolLoad')
