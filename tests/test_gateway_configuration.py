"""Configurations that a gateway applies."""

import json
import unittest
from unittest import mock

from fuchsiafork.gateway import store_feeds
from fuchsiafork.gateway.store_feeds import ConfigurationFeed
from fuchsiafork.platform.names import CONFIGURATION_KEY
from fuchsiafork.platform.store import Changes, Item
from tests.gateway_case import make_configuration


class TestConfigurationFeed(unittest.TestCase):
    """Batches of changes, as after many rapid configuration updates."""

    def setUp(self) -> None:
        """Start without a configuration."""
        self.applied: list[int] = []
        self.log = mock.Mock()
        self.feed = ConfigurationFeed(
            lambda configuration: self.applied.append(configuration.version),
            self.log,
        )

    def apply(self, *documents: bytes) -> int:
        """Apply a batch and return how many documents were parsed."""
        items = tuple(
            Item(CONFIGURATION_KEY, revision, value)
            for revision, value in enumerate(documents, 1)
        )
        parse = store_feeds.parse_configuration
        with mock.patch.object(
            store_feeds, 'parse_configuration', wraps=parse
        ) as parse_calls:
            self.feed.apply_changes(Changes(items, len(items)))
        return parse_calls.call_count

    def test_only_the_newest_of_a_batch_is_parsed(self) -> None:
        """Guards against a backlog that grows with each burst of updates."""
        batch = [encode(version) for version in range(1, 8)]
        self.assertEqual(self.apply(*batch), 1)
        self.assertEqual(self.applied, [7])

    def test_newest_valid_document_is_applied(self) -> None:
        """Guards against an invalid document that hides a valid one."""
        self.assertEqual(self.apply(encode(1), encode(2), b'{}'), 2)
        self.assertEqual(self.applied, [2])
        self.log.error.assert_called_once()

    def test_older_document_is_not_applied(self) -> None:
        """Guards against returning to an older configuration."""
        self.apply(encode(5))
        self.apply(encode(4))
        self.assertEqual(self.applied, [5])


def encode(version: int) -> bytes:
    """Return a configuration document as stored."""
    return json.dumps(make_configuration(version)).encode()
