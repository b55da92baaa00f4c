"""Heartbeats between keepers and the membership view built from them."""

import functools
import math
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Context, System, rank
from fuchsiafork.membership.keeper_choice import choose_keeper
from fuchsiafork.membership.link_peers import (
    LinkPeers,
    Member,
    find_next_hop,
)

HEARTBEAT_INTERVAL_S = 0.5
# Four heartbeats; with a shorter time a busy process counts as dead.
SILENCE_LIMIT_S = 2.0
ROSTER_INTERVAL_S = 5.0
# Silent members are kept for this time, so that after a partition the keepers
# of the other failure domain are dialled at their known addresses.
DROP_AFTER_S = 600.0


class MembershipSystem(System):
    """
    Tracks the keepers and their routers and finds the owners of keys.

    :ivar members: the other known keepers, live or not, by node id.
    :ivar linked: nodes with an open link; None if every node can be reached
        directly.
    """

    accepts = (
        messages.Heartbeat,
        messages.HeartbeatAck,
        messages.Goodbye,
        messages.Roster,
    )

    def __init__(self, context: Context, address: str) -> None:
        """Start without members; this keeper accepts links at ``address``."""
        super().__init__(context)
        self.members: dict[str, Member] = {}
        self.local_routers: set[str] = set()
        self.local_admins: set[str] = set()
        self.linked: set[str] | None = None
        self.revision = 0
        self.verdicts = 0
        self.leaving = False
        self._address = address
        self._link_peers = LinkPeers(context.identity)
        self._next_heartbeat = 0.0
        self._next_roster = 0.0

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle one message."""

    @handle.register
    def _(self, message: messages.Heartbeat, sender: str) -> None:
        known = self.members.get(message.node)
        if known is None or known.incarnation != message.incarnation:
            self._context.events.record(
                'member_joined',
                member=message.node,
                member_domain=message.domain,
            )
            # Keepers that start at the same time learn of each other by it.
            self._context.outbox.send(message.node, self._roster())
        self.members[message.node] = Member(
            node=message.node,
            domain=message.domain,
            incarnation=message.incarnation,
            address=message.address,
            revision=message.revision,
            leaving=message.leaving,
            routers=message.routers,
            last_heard=self._context.clock.now(),
            verdicts=message.verdicts,
            admins=message.admins,
        )
        if message.domain != self._context.identity.domain:
            self._acknowledge(message)

    @handle.register
    def _(self, message: messages.HeartbeatAck, sender: str) -> None:
        # A keeper of another domain that has selected other remote peers
        # sends no heartbeats here; its answers show that it is live.
        member = self.members.get(message.node)
        if member is not None:
            member.last_heard = self._context.clock.now()

    @handle.register
    def _(self, message: messages.Goodbye, sender: str) -> None:
        member = self.members.get(message.node)
        if member is not None and member.incarnation == message.incarnation:
            self.members.pop(message.node)
            self._context.events.record('member_left', member=message.node)

    @handle.register
    def _(self, message: messages.Roster, sender: str) -> None:
        own = self._context.identity.node
        for row in message.rows:
            if row.node != own:
                self.add_member(row)

    def tick(self) -> None:
        """Send due heartbeats and rosters; drop long silent members."""
        now = self._context.clock.now()
        if now < self._next_heartbeat:
            return
        self._next_heartbeat = now + HEARTBEAT_INTERVAL_S
        self._drop_silent(now)
        beat = self._heartbeat(now)
        peers = self._peers()
        for node in peers:
            self._context.outbox.send(node, beat)
        if peers and now >= self._next_roster:
            self._next_roster = now + ROSTER_INTERVAL_S
            chosen = self._context.random.choice(peers)
            self._context.outbox.send(chosen, self._roster())

    def add_member(
        self,
        hello: messages.Hello | messages.RosterRow,
    ) -> None:
        """
        Add a keeper that was linked or listed in a roster.

        Heartbeats may be sent to it from now on; it counts as live when its
        own arrives.
        """
        if hello.node in self.members:
            return
        self.members[hello.node] = Member(
            node=hello.node,
            domain=hello.domain,
            incarnation=hello.incarnation,
            address=hello.address,
            revision=0,
            leaving=False,
            routers=(),
            last_heard=-math.inf,
            added_at=self._context.clock.now(),
        )
        self._context.outbox.send(hello.node, self._roster())

    def addresses(self) -> set[str]:
        """Return the addresses of the members to keep links to."""
        wanted = self._peers()
        return {self.members[node].address for node in wanted}

    def admins(self) -> list[str]:
        """Return the admin addresses of all known processes."""
        found = set(self.local_admins)
        for member in self.members.values():
            found.update(member.admins)
        return sorted(found)

    def live(self, domain: str = '') -> list[str]:
        """
        Return the live keepers of a domain (by default of the own one).

        A leaving keeper counts as live, as it answers until it stops.
        """
        identity = self._context.identity
        wanted = domain or identity.domain
        oldest = self._context.clock.now() - SILENCE_LIMIT_S
        nodes = [
            member.node
            for member in self.members.values()
            if member.domain == wanted and member.last_heard >= oldest
        ]
        if wanted == identity.domain:
            nodes.append(identity.node)
        return nodes

    def ranked_keepers(self, key: str, domain: str = '') -> list[str]:
        """Return the keepers that may own a key, the owner first."""
        staying = [node for node in self.live(domain) if self._is_staying(node)]
        return rank(key, staying or self.live(domain))

    def keeper_for(self, message: Any) -> str:
        """
        Return the keeper for a message sent to ``KEY_OWNER``.

        Empty if no keeper is live.
        """
        return choose_keeper(message, self)

    def domains(self) -> list[str]:
        """Return the own failure domain and the other reachable ones."""
        identity = self._context.identity
        found = {member.domain for member in self.members.values()}
        reachable = {name for name in found if self.live(name)}
        return sorted(reachable | {identity.domain})

    def next_hop(self, destination: str) -> str:
        """
        Return the node to which a message for a destination is sent.

        Empty if no route to the destination is known.
        """
        if destination in self.local_routers:
            return destination
        return find_next_hop(destination, self.members, self.linked, self.live)

    def _acknowledge(self, beat: messages.Heartbeat) -> None:
        """
        Acknowledge a heartbeat of another failure domain.

        Within a domain every keeper sends heartbeats to every other one, so
        acknowledgements would only double the messages.
        """
        own = self._context.identity.node
        ack = messages.HeartbeatAck(own, beat.stamp)
        self._context.outbox.send(beat.node, ack)

    def _drop_silent(self, now: float) -> None:
        """Drop members that have been silent for ``DROP_AFTER_S``."""
        oldest = now - DROP_AFTER_S
        for node, member in tuple(self.members.items()):
            last_known_at = max(member.last_heard, member.added_at)
            if last_known_at < oldest:
                self.members.pop(node)
                self._context.events.record('member_lost', member=node)

    def _is_staying(self, node: str) -> bool:
        """Return whether a node is not shutting down."""
        if node == self._context.identity.node:
            return not self.leaving
        return not self.members[node].leaving

    def _roster(self) -> messages.Roster:
        """Return a roster of the live keepers without this one."""
        oldest = self._context.clock.now() - SILENCE_LIMIT_S
        return messages.Roster(
            tuple(
                messages.RosterRow(
                    member.node,
                    member.domain,
                    member.incarnation,
                    member.address,
                )
                for member in self.members.values()
                if member.last_heard >= oldest
            ),
        )

    def _heartbeat(self, now: float) -> messages.Heartbeat:
        """Return this keeper's next heartbeat."""
        identity = self._context.identity
        return messages.Heartbeat(
            node=identity.node,
            domain=identity.domain,
            incarnation=identity.incarnation,
            revision=self.revision,
            leaving=self.leaving,
            verdicts=self.verdicts,
            routers=tuple(sorted(self.local_routers)),
            address=self._address,
            stamp=now,
            admins=tuple(sorted(self.local_admins)),
        )

    def _peers(self) -> list[str]:
        """Return the members to send heartbeats to and to keep links to."""
        now = self._context.clock.now()
        return self._link_peers.select(self.members, now)
