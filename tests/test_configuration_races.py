"""Tests of operators who change the document at once."""

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
    apply_sample,
    change,
    lost,
    one_more,
    put,
)


class TestRaces(StoreCase):
    """Two operators at once."""

    def replace(
        self, text: str, base: dict[str, str], present: sections.Sections
    ) -> sections.Sections:
        """Return the sections after the money team's replacement."""
        wanted = sections.owned_by(sections.split_sections(SAMPLE), 'money')
        wanted['budget:ovens'] = text
        return sections.replace_owned(present, 'money', wanted, base)

    def test_one_winner_and_one_conflict(self) -> None:
        """Guards against two changes of which one is lost unseen."""
        apply_sample(self.store)
        seen = self.store.read().sections
        base = sections.digests(sections.owned_by(seen, 'money'))
        text = seen['budget:ovens']
        mine = functools.partial(self.replace, text.replace('1000', '1'), base)
        theirs = functools.partial(
            self.replace, text.replace('1000', '2'), base
        )
        rival = ConfigurationStore(ModelClient(self.model))

        def race(key: str) -> None:
            if key == head.HEAD_KEY:
                self.client.before_swap = lambda _: None
                rival.apply(change('theirs'), theirs)

        self.client.before_swap = race
        with self.assertRaises(ConfigurationConflictError) as caught:
            self.store.apply(change('mine'), mine)
        self.assertIn('-opening_tokens = 2', str(caught.exception))
        after = self.store.read()
        self.assertEqual(after.head.revision, 2)
        self.assertEqual(after.head.change_id, 'theirs')
        self.assertIn('opening_tokens = 2', after.text)

    def test_changes_of_two_teams_both_stand(self) -> None:
        """Guards against a race over other sections that loses a change."""
        apply_sample(self.store)
        rival = ConfigurationStore(ModelClient(self.model))

        def race(key: str) -> None:
            if key == head.HEAD_KEY:
                self.client.before_swap = lambda _: None
                edit = put('version:a3', '[version:a3]\nowner=m\npool=orders\n')
                rival.apply(change('theirs', 'models'), edit)

        self.client.before_swap = race
        edit = put('budget:b2', '[budget:b2]\nowner = money\n')
        self.assertEqual(self.store.apply(change('mine'), edit).revision, 3)
        self.assertIn('version:a3', self.store.read().sections)

    def test_no_change_is_lost_or_doubled_with_lost_answers(self) -> None:
        """Guards against a lost answer that is applied a second time."""
        for seed in range(20):
            chance = random.Random(seed)
            self.setUp()
            self.client.lose = functools.partial(lost, chance)
            apply_sample(self.store)
            for number in range(12):
                self.store.apply(change(f'c{number}'), one_more)
            done = self.store.read()
            ids = [row.change_id for row in done.head.changes]
            self.assertEqual(len(ids), len(set(ids)), f'{seed=}')
            self.assertEqual(done.head.revision, 13, f'{seed=}')

    def test_doubled_change_would_be_noticed(self) -> None:
        """Negative control: without change ids, the check fires."""
        with (
            mock.patch.object(head.Head, 'find', return_value=None),
            self.assertRaises(AssertionError),
        ):
            self.test_no_change_is_lost_or_doubled_with_lost_answers()

    def contend(
        self,
        client: StoreClient,
        name: str,
        base: dict[str, str],
        won: list[str],
    ) -> None:
        """Replace the team's sections; note the name of a winner."""
        text = f'[budget:b]\nowner = money\n# {name}\n'
        edit = functools.partial(
            sections.replace_owned,
            owner='money',
            wanted={'budget:b': text},
            base=base,
        )
        with contextlib.suppress(ConfigurationConflictError):
            ConfigurationStore(client).apply(change(name), edit)
            won.append(name)

    def test_threads_over_http_have_one_winner(self) -> None:
        """Guards against a race that only real connections show."""
        won: list[str] = []
        with StoreServer() as server:
            clients = [StoreClient([server.url], 5) for _ in range(4)]
            store = ConfigurationStore(clients[0])
            for turn in range(5):
                base = sections.digests(store.read().sections)
                threads = [
                    threading.Thread(
                        target=self.contend,
                        args=(client, f'{turn}.{number}', base, won),
                    )
                    for number, client in enumerate(clients)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                self.assertEqual(len(won), turn + 1)
            applied = [row.change_id for row in store.read().head.changes]
            for client in clients:
                client.close()
        self.assertEqual(applied, won)
