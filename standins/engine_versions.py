"""Version behaviours and orders of the engine model."""

import dataclasses


class FenceError(Exception):
    """An order has a stale fencing number."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """
    An order to load a version or to change role.

    :ivar fence: fencing number, higher for each later sender of orders.
    :ivar version: version to load, empty for no change.
    :ivar role: new role, empty for no change.
    """

    order_id: str = ''
    fence: int = 0
    version: str = ''
    role: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class VersionBehaviour:
    """
    Failures and slowness of a version while its conditions are met.

    :ivar fail_share: share of requests that fail half-way.
    :ivar slowdown: factor on the time of each step.
    :ivar after_s: seconds after loading at which it begins.
    :ivar above_active: least number of streams in the batch for it to apply.
    :ivar route: only route that it applies to; empty for all.
    """

    fail_share: float = 0.0
    slowdown: float = 1.0
    after_s: float = 0.0
    above_active: int = 0
    route: str = ''

    def effective(
        self,
        age_s: float,
        active: int,
        route: str,
    ) -> 'VersionBehaviour':
        """Return this behaviour if its conditions are met, else ``HEALTHY``."""
        met = age_s >= self.after_s and active >= self.above_active
        if met and self.route in {'', route}:
            return self
        return HEALTHY


HEALTHY = VersionBehaviour()
