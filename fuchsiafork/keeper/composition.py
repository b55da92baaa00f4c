"""The systems of a keeper and how they are connected."""

import dataclasses
from typing import Any

from fuchsiafork.budgets import HolderSystem
from fuchsiafork.configuration import (
    ConfigurationSystem,
    Document,
    Target,
)
from fuchsiafork.dispatch import DispatchSystem
from fuchsiafork.keeper.version_sync import VersionFeed
from fuchsiafork.kernel import Context, System
from fuchsiafork.membership import MembershipSystem
from fuchsiafork.outcomes import OutcomeSystem
from fuchsiafork.rollouts import MembershipPeers, RolloutSystem
from fuchsiafork.rollouts.loading import LoadingSystem


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
    loading: LoadingSystem
    leaving_targets: set[str] = dataclasses.field(default_factory=set)
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
            ('loading', self.loading),
            ('versions', VersionFeed(self)),
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
        self.holder.return_grants()

    def holds_money(self) -> bool:
        """Return whether any grant is still held."""
        return self.holder.holds_grants

    def gauges(self) -> dict[str, float]:
        """Return figures for the metrics, by name."""
        tables = self.holder.tables
        return {
            'configuration_revision': self.revision,
            'members_live': len(self.membership.live()),
            'reservations_open': len(tables.reservations),
            'reservations_waiting': len(tables.waiting),
            'key_bindings': len(self.outcomes.table.bindings),
            'targets_owned': len(self.dispatch.targets),
            'rollouts': len(self.rollouts.states),
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
        loading=LoadingSystem(context),
    )
    systems.configuration.copy.subscribe(systems.configure)
    return systems
