"""Configurations that a gateway takes over."""

import json
import unittest
from unittest import mock

from fuchsiafork.gateway import store_feeds
from fuchsiafork.gateway.store_feeds import ConfigurationFeed
from fuchsiafork.platform.names import CONFIGURATION_KEY
from fuchsiafork.platform.store import Changes, Item
from tests.gateway_case import make_configuration


class TestConfigurationFeed(unittest.TestCase):
    """Batches of changes, as after a storm of configurations."""

    def setUp(self) -> None:
        """Start without a configuration."""
        self.applied: list[int] = []
        self.log = mock.Mock()
        self.feed = ConfigurationFeed(
            lambda catalog: self.applied.append(catalog.version),
            self.log,
        )

    def take(self, *documents: bytes) -> int:
        """Take a batch, and return how many documents were read."""
        items = tuple(
            Item(CONFIGURATION_KEY, revision, value)
            for revision, value in enumerate(documents, 1)
        )
        read = store_feeds.read_catalog
        with mock.patch.object(
            store_feeds, 'read_catalog', wraps=read
        ) as reads:
            self.feed.apply_changes(Changes(items, len(items)))
        return reads.call_count

    def test_only_the_newest_of_a_batch_is_read(self) -> None:
        """Guards against a backlog that each storm makes longer."""
        batch = [encode(version) for version in range(1, 8)]
        self.assertEqual(self.take(*batch), 1)
        self.assertEqual(self.applied, [7])

    def test_newest_that_can_be_read(self) -> None:
        """Guards against a faulty document that hides a good one."""
        self.assertEqual(self.take(encode(1), encode(2), b'{}'), 2)
        self.assertEqual(self.applied, [2])
        self.log.error.assert_called_once()

    def test_older_one_is_not_applied(self) -> None:
        """Guards against going back."""
        self.take(encode(5))
        self.take(encode(4))
        self.assertEqual(self.applied, [5])


def encode(version: int) -> bytes:
    """Return a document as it is stored."""
    return json.dumps(make_configuration(version)).encode()
