"""Which routers are gone, by the keepers' heartbeats."""

from fuchsiafork.kernel import Clock
from fuchsiafork.membership import MembershipSystem

# A router whose keeper died is listed by another keeper within this time.
GONE_AFTER_S = 5.0
# A longer gap between two updates means that this keeper was paused.
_PAUSED_S = 2.0


class RouterView:
    """
    Remembers when each router was last listed by a live keeper.

    A router that was never listed here is not taken for gone: between
    failure domains only some keepers send heartbeats to each other.
    """

    def __init__(self, membership: MembershipSystem, clock: Clock) -> None:
        """Start without any router."""
        self._membership = membership
        self._clock = clock
        self._last_listed: dict[str, float] = {}
        self._updated = clock.now()

    def update(self) -> None:
        """Note the routers that are listed now, and forget those long gone."""
        now = self._clock.now()
        if self._was_paused():
            # Heartbeats that came during the pause are still to be read.
            self._last_listed = dict.fromkeys(self._last_listed, now)
        self._updated = now
        self._last_listed.update(dict.fromkeys(self._listed(), now))
        horizon = now - 10 * GONE_AFTER_S
        self._last_listed = {
            router: listed
            for router, listed in self._last_listed.items()
            if listed >= horizon
        }

    def is_gone(self, router: str) -> bool:
        """Return whether a router was listed and has not been for a while."""
        listed = self._last_listed.get(router)
        if listed is None or self._was_paused():
            return False
        return self._clock.now() - listed > GONE_AFTER_S

    def _was_paused(self) -> bool:
        """Return whether this keeper's own view is too old to be used."""
        return self._clock.now() - self._updated > _PAUSED_S

    def _listed(self) -> set[str]:
        """Return the routers that live keepers list."""
        membership = self._membership
        found = set(membership.local_routers)
        for domain in membership.domains():
            for node in membership.live(domain):
                member = membership.members.get(node)
                found.update(member.routers if member else ())
        return found
