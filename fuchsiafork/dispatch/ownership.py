"""Tells which target groups this keeper owns."""

from fuchsiafork.configuration import Document
from fuchsiafork.dispatch.groups import assign_targets, pool_targets
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# Three heartbeats, after which a keeper that starts or resumes after a pause
# knows its peers.
SETTLING_S = 1.5
# Shorter by more than a heartbeat than the silence after which another keeper
# takes over (2 s), so an owner was not replaced during a pause up to this.
MAX_PAUSE_S = 1.0
REFRESH_INTERVAL_S = 0.25


class Ownership:
    """
    The target groups of this failure domain and the keepers that own them.

    :ivar owned: the groups of this keeper.
    :ivar groups: the targets of each group.
    :ivar group_of: the group of each target.
    """

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Own no group until the peers are known."""
        self.owned: frozenset[str] = frozenset()
        self.groups: dict[str, list[str]] = {}
        self.group_of: dict[str, str] = {}
        self._context = context
        self._membership = membership
        self._last_active_at = context.clock.now()
        self._settled_at = self._last_active_at + SETTLING_S
        self._refresh_at = self._last_active_at

    def configure(self, document: Document) -> None:
        """Compute the groups of a configuration."""
        domain = self._context.identity.domain
        self.groups = {}
        for pool in document.pools:
            targets = pool_targets(document, pool, domain)
            self.groups.update(assign_targets(pool, targets))
        self.group_of = {
            target: group
            for group, targets in self.groups.items()
            for target in targets
        }
        self.refresh(at_once=True)

    def was_paused(self) -> bool:
        """Detect a pause of this process; after one it owns no group."""
        now = self._context.clock.now()
        paused = now - self._last_active_at > MAX_PAUSE_S
        self._last_active_at = now
        if paused:
            self.owned = frozenset()
            self._settled_at = now + SETTLING_S
        return paused

    def refresh(self, *, at_once: bool = False) -> None:
        """Recompute the owned groups when the interval is over."""
        now = self._context.clock.now()
        if now < self._settled_at:
            return
        if now >= self._refresh_at or at_once:
            self._refresh_at = now + REFRESH_INTERVAL_S
            own = self._context.identity.node
            self.owned = frozenset(
                group for group in self.groups if self.owner(group) == own
            )

    def owner(self, group: str, domain: str = '') -> str:
        """Return the owner of a group, empty if no keeper is live."""
        keepers = self._membership.ranked_keepers(f'group:{group}', domain)
        return keepers[0] if keepers else ''
