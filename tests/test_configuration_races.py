"""Tests of concurrent changes of the document."""

import contextlib
import functools
import random
import threading
from unittest import mock

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.configuration import ConfigurationStore, head, sections
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
)
from standins.store_server import StoreServer
from tests.test_configuration import SAMPLE
from tests.test_configuration_store import (
    ModelClient,
    StoreCase,
    add_numbered_budget,
    apply_sample,
    change,
    is_reply_lost,
    set_section,
)


class TestRaces(StoreCase):
    """Concurrent changes by several operators."""

    def replace(
        self, text: str, base: dict[str, str], present: sections.Sections
    ) -> sections.Sections:
        """Replace the budget of the money team; return all sections."""
        wanted = sections.owned_by(sections.split_sections(SAMPLE), 'money')
        wanted['budget:ovens'] = text
        return sections.replace_owned(present, 'money', wanted, base)

    def test_one_winner_and_one_conflict(self) -> None:
        """Guards against one of two conflicting changes being lost silently."""
        apply_sample(self.store)
        sections_before = self.store.read().sections
        base = sections.digests(sections.owned_by(sections_before, 'money'))
        text = sections_before['budget:ovens']
        mine = functools.partial(self.replace, text.replace('1000', '1'), base)
        theirs = functools.partial(
            self.replace, text.replace('1000', '2'), base
        )
        other_store = ConfigurationStore(ModelClient(self.model))

        def race(key: str) -> None:
            if key == head.HEAD_KEY:
                self.client.before_swap = lambda _: None
                other_store.apply(change('theirs'), theirs)

        self.client.before_swap = race
        with self.assertRaises(ConfigurationConflictError) as caught:
            self.store.apply(change('mine'), mine)
        self.assertIn('-opening_tokens = 2', str(caught.exception))
        after = self.store.read()
        self.assertEqual(after.head.revision, 2)
        self.assertEqual(after.head.change_id, 'theirs')
        self.assertIn('opening_tokens = 2', after.text)

    def test_changes_of_two_teams_are_both_applied(self) -> None:
        """Guards against losing a concurrent change of other sections."""
        apply_sample(self.store)
        other_store = ConfigurationStore(ModelClient(self.model))

        def race(key: str) -> None:
            if key == head.HEAD_KEY:
                self.client.before_swap = lambda _: None
                edit = set_section(
                    'version:a3', '[version:a3]\nowner=m\npool=orders\n'
                )
                other_store.apply(change('theirs', 'models'), edit)

        self.client.before_swap = race
        edit = set_section('budget:b2', '[budget:b2]\nowner = money\n')
        self.assertEqual(self.store.apply(change('mine'), edit).revision, 3)
        self.assertIn('version:a3', self.store.read().sections)

    def test_no_change_is_lost_or_doubled_with_lost_replies(self) -> None:
        """Guards against applying a change twice after a lost reply."""
        for seed in range(20):
            rng = random.Random(seed)
            self.setUp()
            self.client.loses_reply = functools.partial(is_reply_lost, rng)
            apply_sample(self.store)
            for number in range(12):
                self.store.apply(change(f'c{number}'), add_numbered_budget)
            snapshot = self.store.read()
            ids = [row.change_id for row in snapshot.head.changes]
            self.assertEqual(len(ids), len(set(ids)), f'{seed=}')
            self.assertEqual(snapshot.head.revision, 13, f'{seed=}')

    def test_doubled_change_check_can_fail(self) -> None:
        """Negative control: without change ids, the assertion fails."""
        with (
            mock.patch.object(head.Head, 'find', return_value=None),
            self.assertRaises(AssertionError),
        ):
            self.test_no_change_is_lost_or_doubled_with_lost_replies()

    def apply_concurrently(
        self,
        client: StoreClient,
        name: str,
        base: dict[str, str],
        winners: list[str],
    ) -> None:
        """Replace the team's sections; append the name if that succeeds."""
        text = f'[budget:b]\nowner = money\n# {name}\n'
        edit = functools.partial(
            sections.replace_owned,
            owner='money',
            wanted={'budget:b': text},
            base=base,
        )
        with contextlib.suppress(ConfigurationConflictError):
            ConfigurationStore(client).apply(change(name), edit)
            winners.append(name)

    def test_threads_over_http_have_one_winner(self) -> None:
        """Guards against a race that only occurs over real connections."""
        winners: list[str] = []
        with StoreServer() as server:
            clients = [StoreClient([server.url], 5) for _ in range(4)]
            store = ConfigurationStore(clients[0])
            for turn in range(5):
                base = sections.digests(store.read().sections)
                threads = [
                    threading.Thread(
                        target=self.apply_concurrently,
                        args=(client, f'{turn}.{number}', base, winners),
                    )
                    for number, client in enumerate(clients)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                self.assertEqual(len(winners), turn + 1)
            applied = [row.change_id for row in store.read().head.changes]
            for client in clients:
                client.close()
        self.assertEqual(applied, winners)
