"""Brings each new revision into force on every keeper."""

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

# With a broken watch and a reader that died, 2 s pass until the next reader
# is chosen; polls at this interval keep the sum under the 5 s of R9.
POLL_INTERVAL_S = 1.0
# A fetch or read without an answer is tried again after this time.
RETRY_S = 0.5

_HOME_KEY = 'configuration'
_HEAD_TAG = 'configuration:head'
_PART_TAG = 'configuration:part:'


class ConfigurationSystem(System):
    """Reads the head where it is this keeper's turn; else asks peers."""

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
        """Start without a configuration; the membership spreads revisions."""
        super().__init__(context)
        self.active = active or ActiveConfiguration()
        self._membership = membership
        self._next_poll = 0.0
        self._next_fetch = 0.0
        self._wanted: Head | None = None
        self._last_invalid = (0, '')

    @property
    def is_head_reader(self) -> bool:
        """Whether it is this keeper's turn to read and watch the head."""
        first = self._membership.ranked_keepers(_HOME_KEY)[0]
        return first == self._context.identity.node

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message or store answer."""

    @handle.register
    def _(self, message: messages.ConfigurationOffer, sender: str) -> None:
        self._check_unique(message.revision, message.digest)
        if self.active.is_candidate(message.revision, message.digest):
            self._fetch(sender)

    @handle.register
    def _(self, message: messages.FetchConfiguration, sender: str) -> None:
        if message.revision < self.active.revision:
            for answer in fetch_replies(self.active, message):
                self._context.outbox.send(sender, answer)

    @handle.register
    def _(self, message: messages.ConfigurationDocument, sender: str) -> None:
        self._adopt(message, sender)

    @handle.register
    def _(self, message: KeyRead, sender: str) -> None:
        if message.tag == _HEAD_TAG:
            self._take_head(message.value)
        elif message.tag.startswith(_PART_TAG):
            self._take_part(message)

    @handle.register
    def _(self, message: StoreFailed, sender: str) -> None:
        # The next poll starts from the head again.
        self._wanted = None

    def tick(self) -> None:
        """Read the head and ask peers that are ahead, when due."""
        now = self._context.clock.now()
        if now >= self._next_poll and self.is_head_reader:
            self._read_head()
        if now >= self._next_fetch:
            ahead = self._members_ahead()
            if ahead:
                self._fetch(self._context.random.choice(ahead))

    def head_changed(self, revision: int) -> None:
        """
        Read the head at once, as a watch saw it change.

        :param revision: the head's revision in the key-value service.
        """
        self._context.events.record('configuration_seen', at=revision)
        self._read_head()

    def _read_head(self) -> None:
        """Start a read of the head; an earlier one is given up."""
        self._next_poll = self._context.clock.now() + POLL_INTERVAL_S
        self._context.outbox.store(ReadKey(HEAD_KEY, _HEAD_TAG))

    def _take_head(self, raw: bytes | None) -> None:
        """Ask for the parts that a newer head names."""
        try:
            head = decode_head(raw)
        except ConfigurationError as error:
            self._record_invalid(0, str(error))
            return
        self._check_unique(head.revision, head.digest)
        if not self.active.is_candidate(head.revision, head.digest):
            return
        self._wanted = head
        wanted = self.active.missing_parts(
            head.revision, head.digest, head.parts
        )
        for name in wanted:
            tag = f'{_PART_TAG}{name}'
            self._context.outbox.store(ReadKey(f'{PART_PREFIX}{name}', tag))
        if not wanted:
            self._take_parts(head, ())

    def _take_part(self, message: KeyRead) -> None:
        """
        Keep a part of the wanted head.

        One that is missing or has another content is read again with the
        next poll.
        """
        head = self._wanted
        if head is not None and message.value is not None:
            text = message.value.decode(errors='replace')
            self._take_parts(head, (text,))

    def _take_parts(self, head: Head, texts: tuple[str, ...]) -> None:
        """Bring the wanted head into force when all its parts are there."""
        document = messages.ConfigurationDocument(
            head.revision,
            head.digest,
            '',
            head.parts,
            texts,
        )
        self._adopt(document, self._context.identity.node)

    def _adopt(
        self,
        document: messages.ConfigurationDocument,
        source: str,
    ) -> None:
        """Bring a revision into force, if it is newer, whole and valid."""
        revision = document.revision
        try:
            adopted = self.active.apply(document)
        except ConfigurationError as error:
            self._record_invalid(revision, str(error))
            return
        if adopted:
            self._membership.revision = revision
            self._context.events.record(
                'configuration_in_force',
                revision=revision,
                source=source,
            )
            self._offer(source)

    def _offer(self, source: str) -> None:
        """
        Tell the local routers, and the own domain on news from outside.

        A revision from a keeper of the own domain is not offered on, since
        that keeper told the others itself; heartbeats cover a lost offer.
        """
        offer = messages.ConfigurationOffer(
            self.active.revision,
            self.active.digest,
        )
        nodes = set(self._membership.local_routers)
        neighbours = set(self._membership.live())
        own = self._context.identity.node
        if source == own or source not in neighbours:
            nodes |= neighbours
        for node in sorted(nodes - {own, source}):
            self._context.outbox.send(node, offer)

    def _fetch(self, peer: str) -> None:
        """Ask a peer for its revision, one question at a time."""
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
        """Return live keepers with a newer revision, own domain first."""
        own = self._context.identity.domain
        ahead = {
            domain: [node for node in self._others(domain) if self._ahead(node)]
            for domain in self._membership.domains()
        }
        return ahead[own] or list(itertools.chain(*ahead.values()))

    def _others(self, domain: str) -> list[str]:
        """Return the live keepers of a domain but this one."""
        own = self._context.identity.node
        return [node for node in self._membership.live(domain) if node != own]

    def _ahead(self, node: str) -> bool:
        """Return whether a keeper has a revision that is worth a fetch."""
        revision = self._membership.members[node].revision
        newer = revision > self.active.revision
        return newer and revision not in self.active.rejected

    def _check_unique(self, revision: int, digest: str) -> None:
        """Check that one revision is one document in the whole fleet."""
        self._context.invariants.check(
            'configuration_revision_unique',
            revision != self.active.revision
            or not self.active.ready
            or digest == self.active.digest,
            revision=revision,
        )

    def _record_invalid(self, revision: int, reason: str) -> None:
        """Record a document that cannot come into force, once."""
        if (revision, reason) == self._last_invalid:
            return
        self._last_invalid = (revision, reason)
        self._context.events.record(
            'configuration_invalid',
            revision=revision,
            reason=reason,
        )
