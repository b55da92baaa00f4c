"""The systems of a keeper and how they are connected."""

import dataclasses
from collections.abc import Callable, Iterable
from typing import Any

from fuchsiafork.budgets import HolderSystem
from fuchsiafork.configuration import (
    ConfigurationSystem,
    Document,
    Target,
)
from fuchsiafork.dispatch import DispatchSystem
from fuchsiafork.kernel import Context, System
from fuchsiafork.membership import MembershipSystem
from fuchsiafork.outcomes import OutcomeSystem
from fuchsiafork.rollouts import MembershipPeers, RolloutSystem


@dataclasses.dataclass(slots=True)
class Systems:
    """All systems of one keeper."""

    context: Context
    membership: MembershipSystem
    configuration: ConfigurationSystem
    holder: HolderSystem
    outcomes: OutcomeSystem
    dispatch: DispatchSystem
    rollouts: RolloutSystem
    document: Document = dataclasses.field(default_factory=Document)

    @property
    def revision(self) -> int:
        """The configuration revision in force, 0 for none."""
        return self.configuration.copy.revision

    def named(self) -> list[tuple[str, System]]:
        """Return the systems under the names that start their store tags."""
        return [
            ('configuration', self.configuration),
            ('budgets', self.holder),
            ('outcomes', self.outcomes),
            ('rollouts', self.rollouts),
            ('dispatch', self.dispatch),
            (
                'rollout-targets',
                RolloutTargets(
                    self.context,
                    self.membership,
                    self.rollouts,
                    self.dispatch,
                    lambda: self.document.versions,
                ),
            ),
        ]

    def configure(self, document: Document) -> None:
        """Put a configuration in force in every system."""
        self.document = document
        self.holder.configure(document)
        self.rollouts.configure(document)
        self.dispatch.configure(document)

    def owned_targets(self) -> dict[str, Target]:
        """Return the targets whose groups this keeper owns, by name."""
        return {
            name: self.document.targets[name]
            for name in self.dispatch.targets
            if name in self.document.targets
        }

    def hand_back(self) -> None:
        """Return all money that no reservation covers."""
        self.holder.hand_back()

    def holds_money(self) -> bool:
        """Return whether any grant is still held."""
        return self.holder.holds_money

    def gauges(self) -> dict[str, float]:
        """Return figures for the metrics, by name."""
        tables = self.holder.tables
        return {
            'configuration_revision': self.revision,
            'members_live': len(self.membership.live()),
            'reservations_open': len(tables.reservations),
            'reservations_waiting': len(tables.waiting),
            'key_bindings': len(self.outcomes.table.rows),
            'targets_owned': len(self.dispatch.targets),
            'rollouts': len(self.rollouts.rows),
        }

    def status(self) -> dict[str, Any]:
        """Return facts for operators."""
        members = self.membership.members.values()
        return {
            'revision': self.revision,
            'digest': self.configuration.copy.digest,
            'live': self.membership.live(),
            'domains': self.membership.domains(),
            'admins': self.membership.admins(),
            'routers': sorted(self.membership.local_routers),
            'members': [
                {
                    'node': member.node,
                    'domain': member.domain,
                    'revision': member.revision,
                }
                for member in members
            ],
            **self.gauges(),
        }


class RolloutTargets(System):
    """Tells the rollouts which versions have targets that can serve."""

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        rollouts: RolloutSystem,
        dispatch: DispatchSystem,
        versions: Callable[[], Iterable[str]],
    ) -> None:
        """Count the dispatch's targets for the rollouts."""
        super().__init__(context)
        self._versions = versions
        self._membership = membership
        self._rollouts = rollouts
        self._dispatch = dispatch

    def handle(self, message: Any, sender: str) -> None:
        """Take no messages."""

    def tick(self) -> None:
        """Count the serving targets of each version."""
        counts = dict.fromkeys(self._versions(), 0)
        now = self._context.clock.now()
        wall = self._context.clock.wall()
        for row in self._dispatch.targets.values():
            if row.is_usable(now, wall):
                version = row.version or row.section.version
                counts[version] = counts.get(version, 0) + 1
        self._membership.verdicts = self._rollouts.verdict_count
        for version, count in sorted(counts.items()):
            self._rollouts.set_available(version, count)


def make_systems(context: Context, address: str) -> Systems:
    """
    Return the connected systems of a keeper.

    :param address: ``ip:port`` where the keeper accepts links.
    """
    membership = MembershipSystem(context, address)
    peers = MembershipPeers(context.identity.node, membership)
    rollouts = RolloutSystem(context, peers)
    systems = Systems(
        context=context,
        membership=membership,
        configuration=ConfigurationSystem(context, membership),
        holder=HolderSystem(context, membership),
        outcomes=OutcomeSystem(context, membership),
        dispatch=DispatchSystem(context, membership, rollouts),
        rollouts=rollouts,
    )
    systems.configuration.copy.subscribe(systems.configure)
    return systems
