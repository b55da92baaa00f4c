"""Detects failed routers from the keepers' heartbeats."""

from fuchsiafork.kernel import Clock
from fuchsiafork.membership import MembershipSystem

# A router whose keeper failed is listed by another keeper within this time.
GONE_AFTER_S = 5.0
# A longer gap between two updates means that this keeper was paused.
_PAUSE_THRESHOLD_S = 2.0


class RouterMonitor:
    """
    Stores when each router was last listed by a live keeper.

    A router that was never listed here doesn't count as gone: between failure
    domains only some keepers send heartbeats to each other.
    """

    def __init__(self, membership: MembershipSystem, clock: Clock) -> None:
        """Start without known routers."""
        self._membership = membership
        self._clock = clock
        self._last_listed: dict[str, float] = {}
        self._updated_at = clock.now()

    def update(self) -> None:
        """Update the listed routers and remove those not listed for long."""
        now = self._clock.now()
        if self._was_paused():
            # Heartbeats that arrived during the pause are not handled yet.
            self._last_listed = dict.fromkeys(self._last_listed, now)
        self._updated_at = now
        self._last_listed.update(dict.fromkeys(self._listed_routers(), now))
        oldest_kept = now - 10 * GONE_AFTER_S
        self._last_listed = {
            router: last_listed
            for router, last_listed in self._last_listed.items()
            if last_listed >= oldest_kept
        }

    def is_gone(self, router: str) -> bool:
        """Return whether a router was listed and no longer is."""
        last_listed = self._last_listed.get(router)
        if last_listed is None or self._was_paused():
            return False
        return self._clock.now() - last_listed > GONE_AFTER_S

    def _was_paused(self) -> bool:
        """Return whether the last update is too old, as after a pause."""
        return self._clock.now() - self._updated_at > _PAUSE_THRESHOLD_S

    def _listed_routers(self) -> set[str]:
        """Return the routers that live keepers list."""
        membership = self._membership
        routers = set(membership.local_routers)
        for domain in membership.domains():
            for node in membership.live(domain):
                member = membership.members.get(node)
                routers.update(member.routers if member else ())
        return routers
