"""Versions and orders of the engine model."""

import dataclasses


class FenceError(Exception):
    """An order came with an old fencing number."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """
    An order to load a version or to change role.

    :ivar fence: fencing number, rising with each orderer.
    :ivar version: version to load, empty to keep the present one.
    :ivar role: role to take, empty to keep the present one.
    """

    order_id: str = ''
    fence: int = 0
    version: str = ''
    role: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class VersionBehaviour:
    """
    How a version behaves once its conditions are met.

    :ivar fail_share: share of requests that fail half-way.
    :ivar slowdown: factor on the time of each step.
    :ivar after_s: seconds after loading from which it shows.
    :ivar above_active: streams in the batch above which it shows.
    :ivar route: only route on which it shows; empty for all.
    """

    fail_share: float = 0.0
    slowdown: float = 1.0
    after_s: float = 0.0
    above_active: int = 0
    route: str = ''

    def at(
        self,
        age_s: float,
        active: int,
        route: str,
    ) -> 'VersionBehaviour':
        """Return this behaviour if its conditions are met, else a good one."""
        met = age_s >= self.after_s and active >= self.above_active
        if met and self.route in {'', route}:
            return self
        return HEALTHY


HEALTHY = VersionBehaviour()
