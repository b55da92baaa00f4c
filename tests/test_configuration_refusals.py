"""Tests of revisions sent in parts and of revisions to be rejected."""

import unittest
from unittest import mock

from fuchsiafork import messages
from fuchsiafork.configuration import (
    ActiveConfiguration,
    head,
    parse_document,
    part_parser,
)
from fuchsiafork.configuration.fetch_replies import fetch_replies
from fuchsiafork.configuration.parsing import digest_of
from fuchsiafork.kernel import InvariantViolationError
from tests.test_configuration_propagation import MAX_PROPAGATION_S, Fleet
from tests.test_configuration_store import (
    add_budget,
    apply_sample,
    change,
)


class RevertingConfiguration(ActiveConfiguration):
    """Accepts every revision; for the negative control."""

    def is_candidate(self, revision: int, digest: str) -> bool:
        """Return True for every revision."""
        return True


class TestParts(unittest.TestCase):
    """Transfer and parsing of a document in parts."""

    def test_change_sends_and_validates_few_parts(self) -> None:
        """Guards against sending and parsing the whole document each time."""
        fleet = Fleet(domains='a', size=2)
        sections = {
            f'budget:b{number}': f'[budget:b{number}]\nowner = {"x" * 64}\n'
            for number in range(9000)
        }
        fleet.operator.apply(change('c1'), lambda _: sections)
        fleet.run(MAX_PROPAGATION_S)
        active = fleet.systems['a-0/keeper'].active
        replies = list(
            fetch_replies(active, messages.FetchConfiguration(0, by_parts=True))
        )
        self.assertGreater(len(replies), 1)
        self.assertTrue(all(len(row.texts) for row in replies))
        before = set(active.parts)
        fleet.operator.apply(change('c2'), add_budget('b77'))
        with mock.patch.object(
            part_parser, 'parse_sections', wraps=part_parser.parse_sections
        ) as parse:
            fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(fleet.revisions(), {2})
        self.assertEqual(len(set(active.parts) - before), 1)
        self.assertEqual(parse.call_count, 2)
        (sent,) = fetch_replies(
            active, messages.FetchConfiguration(1, by_parts=True)
        )
        self.assertEqual(len(sent.texts), 1)
        self.assertEqual(
            active.document, parse_document(fleet.operator.read().text)
        )

    def test_parts_of_two_revisions_do_not_mix(self) -> None:
        """Guards against mixing the parts of two revisions."""
        active, texts = (
            ActiveConfiguration(),
            ('[budget:a]\nowner=x\n', '\n#y\n'),
        )
        parts = tuple(digest_of(text) for text in texts)
        digest = digest_of(*texts)
        steps = (
            (1, texts[:1], False),
            (2, texts[1:], False),
            (1, texts[1:], False),
            (1, texts, True),
        )
        for revision, message_texts, in_force in steps:
            message = messages.ConfigurationDocument(
                revision, digest, '', parts, message_texts
            )
            self.assertEqual(active.apply(message), in_force)
        self.assertEqual(active.text, ''.join(texts))


class TestRefusals(unittest.TestCase):
    """Revisions that must not come into force."""

    def setUp(self) -> None:
        self.fleet = Fleet(domains='a', size=1)
        apply_sample(self.fleet.operator)
        self.fleet.run(2)
        self.system = self.fleet.systems['a-0/keeper']

    def store_head(self, stored: head.Head, part: bytes | None) -> None:
        """Write a head directly to the store, bypassing validation."""
        if part is not None:
            name = head.part_digest(part)
            self.fleet.model.swap(f'{head.PART_PREFIX}{name}', 0, part)
        revision = self.fleet.model.rows[head.HEAD_KEY].revision
        self.fleet.model.swap(head.HEAD_KEY, revision, stored.encode())

    def event_kinds(self) -> list[str]:
        """Return the kinds of the configuration events so far."""
        return [
            event.kind
            for event in self.system._context.events.since(0)
            if event.kind.startswith('configuration')
        ]

    def test_invalid_document_is_reported_once_and_not_applied(self) -> None:
        """Guards against a keeper that applies it or fails on it."""
        part = b'[pool:x]\nowner = x\n'
        name = head.part_digest(part)
        self.store_head(head.Head(2, name, (name,), ()), part)
        self.fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(self.system.active.revision, 1)
        self.assertEqual(self.event_kinds().count('configuration_invalid'), 1)
        self.assertIn('delta', self.system.active.document.accounts)

    def test_incomplete_head_waits_for_its_parts(self) -> None:
        """Guards against applying a document that lacks a part."""
        part = b'[budget:x]\nowner = x\n'
        name = head.part_digest(part)
        self.store_head(head.Head(2, name, (name,), ()), None)
        self.fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(self.system.active.revision, 1)
        self.fleet.model.swap(f'{head.PART_PREFIX}{name}', 0, part)
        self.fleet.run(MAX_PROPAGATION_S)
        self.assertEqual(self.system.active.revision, 2)

    def test_older_head_does_not_revert(self) -> None:
        """Guards against reverting after the store lost newer revisions."""
        active = self.system.active
        old = (active.revision, active.digest, active.text)
        self.fleet.operator.apply(change('c2'), add_budget('b2'))
        self.fleet.run(2)
        self.system.handle(messages.ConfigurationDocument(*old), 'a-9/keeper')
        self.assertEqual(active.revision, 2)
        wrong = messages.ConfigurationDocument(3, old[1], 'x')
        self.system.handle(wrong, 'a-9/keeper')
        self.assertEqual(active.revision, 2)

    def test_two_documents_under_one_revision_violate_invariant(self) -> None:
        """Guards against different documents in force under one revision."""
        offer = messages.ConfigurationOffer(1, 'f' * 64)
        with self.assertRaises(InvariantViolationError):
            self.system.handle(offer, 'a-9/keeper')

    def test_revert_check_can_fail(self) -> None:
        """Negative control: without the revision check, a revert is found."""
        fleet = Fleet(domains='a', size=1, active_type=RevertingConfiguration)
        apply_sample(fleet.operator)
        fleet.run(2)
        active = fleet.systems['a-0/keeper'].active
        active.apply_text(active.revision, active.digest, active.text)
        self.assertEqual(fleet.reverts(), ['a-0/keeper'])
