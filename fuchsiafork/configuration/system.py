"""Distributes each new configuration revision to every keeper."""

import functools
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration.active import ActiveConfiguration
from fuchsiafork.configuration.fetch_replies import fetch_replies
from fuchsiafork.configuration.head import (
    HEAD_KEY,
    PART_PREFIX,
    Head,
    decode_head,
)
from fuchsiafork.kernel import Context, System
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.kernel.outbox import KeyRead, ReadKey, StoreFailed
from fuchsiafork.membership import MembershipSystem

# If the watch is broken and the head reader has died, 2 s pass until the next
# reader is chosen; polling at this interval keeps the total under the 5 s in
# which a revision must be in force on all reachable nodes.
POLL_INTERVAL_S = 1.0
# An unanswered fetch or read is retried after this time.
RETRY_S = 0.5

_ROUTING_KEY = 'configuration'
_HEAD_TAG = 'configuration:head'
_PART_TAG = 'configuration:part:'


class ConfigurationSystem(System):
    """
    Brings new revisions into force on a keeper.

    One keeper of each failure domain, the head reader, reads the head record
    from the key-value service. Every keeper fetches newer revisions from peers.
    """

    accepts = (
        messages.ConfigurationOffer,
        messages.FetchConfiguration,
        messages.ConfigurationDocument,
    )

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        active: ActiveConfiguration | None = None,
    ) -> None:
        """Start without a configuration; heartbeats carry the revision."""
        super().__init__(context)
        self.active = active or ActiveConfiguration()
        self._membership = membership
        self._next_poll = 0.0
        self._next_fetch = 0.0
        self._pending_head: Head | None = None
        self._last_invalid = (0, '')

    @property
    def is_head_reader(self) -> bool:
        """Whether this keeper reads and watches the head for its domain."""
        first = self._membership.ranked_keepers(_ROUTING_KEY)[0]
        return first == self._context.identity.node

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle one message or store result."""

    @handle.register
    def _(self, message: messages.ConfigurationOffer, sender: str) -> None:
        self._check_unique(message.revision, message.digest)
        if self.active.is_candidate(message.revision, message.digest):
            self._fetch(sender)

    @handle.register
    def _(self, message: messages.FetchConfiguration, sender: str) -> None:
        if message.revision < self.active.revision:
            for reply in fetch_replies(self.active, message):
                self._context.outbox.send(sender, reply)

    @handle.register
    def _(self, message: messages.ConfigurationDocument, sender: str) -> None:
        self._apply(message, sender)

    @handle.register
    def _(self, message: KeyRead, sender: str) -> None:
        if message.tag == _HEAD_TAG:
            self._handle_head(message.value)
        elif message.tag.startswith(_PART_TAG):
            self._handle_part(message)

    @handle.register
    def _(self, message: StoreFailed, sender: str) -> None:
        # The next poll reads the head again.
        self._pending_head = None

    def tick(self) -> None:
        """Read the head and fetch newer revisions from peers, when due."""
        now = self._context.clock.now()
        if now >= self._next_poll and self.is_head_reader:
            self._read_head()
        if now >= self._next_fetch:
            ahead = self._members_ahead()
            if ahead:
                self._fetch(self._context.random.choice(ahead))

    def head_changed(self, revision: int) -> None:
        """
        Read the head immediately after the watch reported a change.

        :param revision: revision of the head's key in the key-value service.
        """
        self._context.events.record('configuration_seen', at=revision)
        self._read_head()

    def _read_head(self) -> None:
        """Request the head and schedule the next poll."""
        self._next_poll = self._context.clock.now() + POLL_INTERVAL_S
        self._context.outbox.store(ReadKey(HEAD_KEY, _HEAD_TAG))

    def _handle_head(self, raw: bytes | None) -> None:
        """Read the missing parts of a newer head."""
        try:
            head = decode_head(raw)
        except ConfigurationError as error:
            self._record_invalid(0, str(error))
            return
        self._check_unique(head.revision, head.digest)
        if not self.active.is_candidate(head.revision, head.digest):
            return
        self._pending_head = head
        missing = self.active.missing_parts(
            head.revision, head.digest, head.parts
        )
        for name in missing:
            tag = f'{_PART_TAG}{name}'
            self._context.outbox.store(ReadKey(f'{PART_PREFIX}{name}', tag))
        if not missing:
            self._add_parts(head, ())

    def _handle_part(self, message: KeyRead) -> None:
        """
        Add a part of the pending head.

        A part that is missing or has the wrong content is read again with
        the next poll.
        """
        head = self._pending_head
        if head is not None and message.value is not None:
            text = message.value.decode(errors='replace')
            self._add_parts(head, (text,))

    def _add_parts(self, head: Head, texts: tuple[str, ...]) -> None:
        """Add parts of a head; it comes into force once they are complete."""
        document = messages.ConfigurationDocument(
            head.revision,
            head.digest,
            '',
            head.parts,
            texts,
        )
        self._apply(document, self._context.identity.node)

    def _apply(
        self,
        document: messages.ConfigurationDocument,
        source: str,
    ) -> None:
        """Bring a revision into force if it is newer, complete and valid."""
        revision = document.revision
        try:
            in_force = self.active.apply(document)
        except ConfigurationError as error:
            self._record_invalid(revision, str(error))
            return
        if in_force:
            self._membership.revision = revision
            self._context.events.record(
                'configuration_in_force',
                revision=revision,
                source=source,
            )
            self._broadcast_offer(source)

    def _broadcast_offer(self, source: str) -> None:
        """
        Offer the revision to the local routers and to the own domain.

        A revision from a keeper of the own domain is not offered to its other
        keepers, since that keeper has sent them an offer itself. Heartbeats
        make up for a lost offer.
        """
        offer = messages.ConfigurationOffer(
            self.active.revision,
            self.active.digest,
        )
        nodes = set(self._membership.local_routers)
        domain_keepers = set(self._membership.live())
        own = self._context.identity.node
        if source == own or source not in domain_keepers:
            nodes |= domain_keepers
        for node in sorted(nodes - {own, source}):
            self._context.outbox.send(node, offer)

    def _fetch(self, peer: str) -> None:
        """Fetch a peer's revision unless a fetch was sent within RETRY_S."""
        now = self._context.clock.now()
        if now >= self._next_fetch:
            self._next_fetch = now + RETRY_S
            self._context.outbox.send(
                peer,
                messages.FetchConfiguration(
                    self.active.revision, by_parts=True
                ),
            )

    def _members_ahead(self) -> list[str]:
        """Return live keepers with a newer revision, own domain preferred."""
        own = self._context.identity.domain
        ahead = {
            domain: [
                node
                for node in self._other_keepers(domain)
                if self._is_ahead(node)
            ]
            for domain in self._membership.domains()
        }
        return ahead[own] or list(itertools.chain(*ahead.values()))

    def _other_keepers(self, domain: str) -> list[str]:
        """Return the live keepers of a domain except this one."""
        own = self._context.identity.node
        return [node for node in self._membership.live(domain) if node != own]

    def _is_ahead(self, node: str) -> bool:
        """Return whether a keeper has a newer, not rejected revision."""
        revision = self._membership.members[node].revision
        newer = revision > self.active.revision
        return newer and revision not in self.active.rejected

    def _check_unique(self, revision: int, digest: str) -> None:
        """Check that no two documents have the same revision."""
        self._context.invariants.check(
            'configuration_revision_unique',
            revision != self.active.revision
            or not self.active.ready
            or digest == self.active.digest,
            revision=revision,
        )

    def _record_invalid(self, revision: int, reason: str) -> None:
        """Record an invalid document, once for the same revision and reason."""
        if (revision, reason) == self._last_invalid:
            return
        self._last_invalid = (revision, reason)
        self._context.events.record(
            'configuration_invalid',
            revision=revision,
            reason=reason,
        )
