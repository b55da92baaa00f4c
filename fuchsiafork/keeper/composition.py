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
from fuchsiafork.keeper.version_sync import VersionSync
from fuchsiafork.kernel import Context, System
from fuchsiafork.membership import MembershipSystem
from fuchsiafork.outcomes import OutcomeSystem
from fuchsiafork.rollouts import MembershipPeers, RolloutSystem
from fuchsiafork.rollouts.loading import LoadingSystem


@dataclasses.dataclass(slots=True)
class Systems:
    """
    All systems of one keeper.

    :ivar leaving_targets: names of targets on VMs that are shutting down.
    :ivar document: the configuration in force.
    """

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
        return self.configuration.active.revision

    def named_systems(self) -> list[tuple[str, System]]:
        """Return the systems by name; the name is the prefix of store tags."""
        return [
            ('configuration', self.configuration),
            ('budgets', self.holder),
            ('outcomes', self.outcomes),
            ('rollouts', self.rollouts),
            ('dispatch', self.dispatch),
            ('loading', self.loading),
            ('versions', VersionSync(self)),
        ]

    def configure(self, document: Document) -> None:
        """Apply a configuration to every system."""
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

    def return_grants(self) -> None:
        """Return the granted tokens that no reservation needs."""
        self.holder.return_grants()

    def holds_grants(self) -> bool:
        """Return whether any grant is still held."""
        return self.holder.holds_grants

    def gauges(self) -> dict[str, float]:
        """Return the gauge values for the metrics, by name."""
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
        """Return the state for the status page of the admin server."""
        members = self.membership.members.values()
        return {
            'revision': self.revision,
            'digest': self.configuration.active.digest,
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
    Create the systems of a keeper and connect them.

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
    systems.configuration.active.subscribe(systems.configure)
    return systems
