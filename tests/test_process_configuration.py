"""How a router's process gets the configuration."""

import unittest

from fuchsiafork.configuration import ActiveConfiguration
from fuchsiafork.configuration.fetch_replies import fetch_replies
from fuchsiafork.configuration.parsing import digest_of
from fuchsiafork.messages import ConfigurationDocument
from fuchsiafork.router.configuration import (
    FETCH_INTERVAL_S,
    ConfigurationClient,
)
from fuchsiafork.router.directory import Directory
from standins.virtual import VirtualClock
from tests.test_kernel import make_context


def document(revision: int, *pools: str) -> ConfigurationDocument:
    """Return a revision with a part for each pool."""
    texts = tuple(
        f'[pool:{name}]\nowner = platform\nkind = engine\n\n' for name in pools
    )
    names = tuple(digest_of(text) for text in texts)
    return ConfigurationDocument(revision, digest_of(*texts), '', names, texts)


class TestRouterFetch(unittest.TestCase):
    """The router's questions and what it takes from the answers."""

    def test_only_new_parts_are_sent(self) -> None:
        """Guards against a whole document for each change and router."""
        clock = VirtualClock()
        context = make_context('a-1/router', clock)
        applied: list[Directory] = []
        client = ConfigurationClient(context, applied.append)
        keeper = ActiveConfiguration()
        sent = []
        for revision, pools in ((1, ('a', 'b')), (2, ('a', 'c'))):
            keeper.apply(document(revision, *pools))
            clock.advance(FETCH_INTERVAL_S)
            client.tick()
            sends, _ = context.outbox.drain()
            for answer in fetch_replies(keeper, sends[0].message):
                sent.append(len(answer.texts))
                client.handle(answer, 'a-1/keeper')
        self.assertEqual(sent, [2, 1])
        self.assertEqual([one.revision for one in applied], [1, 2])
