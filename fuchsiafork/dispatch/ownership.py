"""Which target groups this keeper owns."""

from fuchsiafork.configuration import Document
from fuchsiafork.dispatch.groups import pool_targets, split_targets
from fuchsiafork.kernel import Context
from fuchsiafork.membership import MembershipSystem

# Three heartbeats: a keeper that starts or resumes knows its peers by then.
SETTLE_S = 1.5
# Less than the silence after which another keeper takes over (2 s), less a
# heartbeat: an owner that missed nothing longer was not replaced.
PAUSE_S = 1.0
REFRESH_S = 0.25


class Ownership:
    """Groups of this failure domain and the keepers that own them."""

    def __init__(self, context: Context, membership: MembershipSystem) -> None:
        """Own nothing until the peers are known."""
        self.owned: frozenset[str] = frozenset()
        self.groups: dict[str, list[str]] = {}
        self.group_of: dict[str, str] = {}
        self._context = context
        self._membership = membership
        self._active_at = context.clock.now()
        self._settled_at = self._active_at + SETTLE_S
        self._refresh_at = self._active_at

    def configure(self, document: Document) -> None:
        """Take the groups of a configuration."""
        domain = self._context.identity.domain
        self.groups = {}
        for pool in document.pools:
            targets = pool_targets(document, pool, domain)
            self.groups.update(split_targets(pool, targets))
        self.group_of = {
            target: group
            for group, targets in self.groups.items()
            for target in targets
        }
        self.refresh(at_once=True)

    def was_paused(self) -> bool:
        """Return whether this process stood still; it then owns nothing."""
        now = self._context.clock.now()
        paused = now - self._active_at > PAUSE_S
        self._active_at = now
        if paused:
            self.owned = frozenset()
            self._settled_at = now + SETTLE_S
        return paused

    def refresh(self, *, at_once: bool = False) -> None:
        """Look up the owned groups again, when it is due."""
        now = self._context.clock.now()
        if now < self._settled_at:
            return
        if now >= self._refresh_at or at_once:
            self._refresh_at = now + REFRESH_S
            own = self._context.identity.node
            self.owned = frozenset(
                group for group in self.groups if self.home(group) == own
            )

    def home(self, group: str, domain: str = '') -> str:
        """Return the owner of a group, empty if none is live."""
        keepers = self._membership.ranked_keepers(f'group:{group}', domain)
        return keepers[0] if keepers else ''
