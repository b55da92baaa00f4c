"""Heartbeats between the keepers and the view that follows from them."""

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
# Four heartbeats; a shorter time takes a busy process for a dead one.
SILENCE_LIMIT_S = 2.0
ROSTER_INTERVAL_S = 5.0
# Peers of a domain that comes back after a partition are dialled again at
# their old addresses until then.
FORGET_AFTER_S = 600.0


class MembershipSystem(System):
    """Keeps the table of keepers and routers."""

    accepts = (
        messages.Heartbeat,
        messages.HeartbeatAck,
        messages.Goodbye,
        messages.Roster,
    )

    def __init__(self, context: Context, address: str) -> None:
        """Start alone; ``address`` is where this keeper accepts links."""
        super().__init__(context)
        self.members: dict[str, Member] = {}
        self.local_routers: set[str] = set()
        self.local_admins: set[str] = set()
        # Nodes with an open link; None where every node can be reached.
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
        """Take one message."""

    @handle.register
    def _(self, message: messages.Heartbeat, sender: str) -> None:
        known = self.members.get(message.node)
        if known is None or known.incarnation != message.incarnation:
            self._context.events.record(
                'member_joined',
                member=message.node,
                member_domain=message.domain,
            )
            # Two keepers that start together learn of each other by it.
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
        # A keeper of another domain may not send heartbeats here, for it
        # has chosen other gateways; its answers show that it is live.
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
        """Send heartbeats that are due and drop members long silent."""
        now = self._context.clock.now()
        if now < self._next_heartbeat:
            return
        self._next_heartbeat = now + HEARTBEAT_INTERVAL_S
        self._forget_lost(now)
        beat = self._heartbeat(now)
        targets = self._contacts()
        for node in targets:
            self._context.outbox.send(node, beat)
        if targets and now >= self._next_roster:
            self._next_roster = now + ROSTER_INTERVAL_S
            chosen = self._context.random.choice(targets)
            self._context.outbox.send(chosen, self._roster())

    def add_member(
        self,
        hello: messages.Hello | messages.RosterRow,
    ) -> None:
        """
        Take up a keeper that has just been linked.

        Heartbeats go to it from now on; it is live once its own arrives.
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
        """Return where links to the members heartbeats go to are opened."""
        wanted = self._contacts()
        return {self.members[node].address for node in wanted}

    def admins(self) -> list[str]:
        """Return the known admin addresses of all processes."""
        found = set(self.local_admins)
        for member in self.members.values():
            found.update(member.admins)
        return sorted(found)

    def live(self, domain: str = '') -> list[str]:
        """
        Return the live keepers of a domain (of this one by default).

        A leaving keeper still counts as live: it answers until it is gone.
        """
        identity = self._context.identity
        wanted = domain or identity.domain
        horizon = self._context.clock.now() - SILENCE_LIMIT_S
        nodes = [
            member.node
            for member in self.members.values()
            if member.domain == wanted and member.last_heard >= horizon
        ]
        if wanted == identity.domain:
            nodes.append(identity.node)
        return nodes

    def ranked_keepers(self, key: str, domain: str = '') -> list[str]:
        """Return the keepers that take a key, best first."""
        steady = [node for node in self.live(domain) if self._stays(node)]
        return rank(key, steady or self.live(domain))

    def keeper_for(self, message: Any) -> str:
        """
        Return the keeper that takes a message without a named node.

        Empty if none is live.
        """
        return choose_keeper(message, self)

    def domains(self) -> list[str]:
        """Return this failure domain and the others that are reachable."""
        identity = self._context.identity
        found = {member.domain for member in self.members.values()}
        reachable = {name for name in found if self.live(name)}
        return sorted(reachable | {identity.domain})

    def next_hop(self, destination: str) -> str:
        """
        Return the node to which a message for a destination is sent.

        Empty if no way to the destination is known.
        """
        if destination in self.local_routers:
            return destination
        return find_next_hop(destination, self.members, self.linked, self.live)

    def _acknowledge(self, beat: messages.Heartbeat) -> None:
        """
        Answer a heartbeat of another failure domain.

        Inside a domain every keeper sends heartbeats to every other one, so
        answers would only double the messages.
        """
        own = self._context.identity.node
        ack = messages.HeartbeatAck(own, beat.stamp)
        self._context.outbox.send(beat.node, ack)

    def _forget_lost(self, now: float) -> None:
        """Drop members that have been silent for long."""
        horizon = now - FORGET_AFTER_S
        for node, member in tuple(self.members.items()):
            known_for = max(member.last_heard, member.added_at)
            if known_for < horizon:
                self.members.pop(node)
                self._context.events.record('member_lost', member=node)

    def _stays(self, node: str) -> bool:
        """Return whether a node is not shutting down."""
        if node == self._context.identity.node:
            return not self.leaving
        return not self.members[node].leaving

    def _roster(self) -> messages.Roster:
        """Return the live keepers, this one aside, which said hello."""
        horizon = self._context.clock.now() - SILENCE_LIMIT_S
        return messages.Roster(
            tuple(
                messages.RosterRow(
                    member.node,
                    member.domain,
                    member.incarnation,
                    member.address,
                )
                for member in self.members.values()
                if member.last_heard >= horizon
            ),
        )

    def _heartbeat(self, now: float) -> messages.Heartbeat:
        """Return this keeper's heartbeat."""
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

    def _contacts(self) -> list[str]:
        """Return the members to which heartbeats go and links are kept."""
        now = self._context.clock.now()
        return self._link_peers.select(self.members, now)
