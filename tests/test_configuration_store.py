"""Tests of the stored document: parts, head, races and lost replies."""

import random
import unittest
from collections.abc import Callable
from typing import Any

from fuchsiafork.configuration import ConfigurationStore, head, sections
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    StoreUnavailableError,
)
from fuchsiafork.kernel.outbox import CompareAndSwap
from standins.store_model import StoreModel
from standins.virtual import VirtualClock, apply_operation, store_failure
from tests.test_configuration import SAMPLE


class ModelClient:
    """Runs operations on the store model, with faults set by the test."""

    def __init__(self, model: StoreModel) -> None:
        """Start without faults."""
        self.model = model
        self.down = False
        self.loses_reply: Callable[[str], bool] = lambda key: False
        self.before_swap: Callable[[str], None] = lambda key: None

    def execute(self, operation: Any) -> Any:
        """Return the result of an operation."""
        if self.down:
            return store_failure(operation, unknown=False)
        writes = isinstance(operation, CompareAndSwap)
        if writes:
            self.before_swap(operation.key)
        answer = apply_operation(operation, self.model)
        if writes and self.loses_reply(operation.key):
            return store_failure(operation, unknown=True)
        return answer


def change(name: str, owner: str = 'money') -> head.Change:
    """Return a change by an owner."""
    return head.Change(name, owner, 'tester', 1_800_000_000)


def set_section(title: str, text: str) -> Callable[..., sections.Sections]:
    """Return an edit that sets one section."""
    return lambda present: {**present, title: text}


def add_budget(name: str) -> Callable[..., sections.Sections]:
    """Return an edit that adds a budget."""
    return set_section(f'budget:{name}', f'[budget:{name}]\nowner = money\n')


def add_numbered_budget(present: sections.Sections) -> sections.Sections:
    """Add a budget whose name depends on the number of sections."""
    return add_budget(f'more-{len(present)}')(present)


def apply_sample(store: ConfigurationStore, name: str = 'first') -> None:
    """Apply the sample document."""
    store.apply(change(name), lambda _: sections.split_sections(SAMPLE))


def is_reply_lost(rng: random.Random, key: str) -> bool:
    """Return at random whether a reply is lost."""
    return rng.random() < 0.4


class StoreCase(unittest.TestCase):
    """Base class with one store client."""

    def setUp(self) -> None:
        self.model = StoreModel(VirtualClock().now)
        self.client = ModelClient(self.model)
        self.store = ConfigurationStore(self.client)


class TestParts(StoreCase):
    """Splitting the document into parts."""

    def test_large_document_is_split_and_mostly_reused(self) -> None:
        """Guards against values over the limit and rewriting all parts."""
        rest = f'owner = money\n#{"x" * 99}\n'
        titles = [f'budget:b{number}' for number in range(12_000)]
        many = {title: f'[{title}]\n{rest}' for title in titles}
        self.store.apply(change('c1'), lambda _: many)
        first = self.store.read()
        self.assertEqual(first.sections, many)
        sizes = [
            len(row.value)
            for key, row in self.model.rows.items()
            if key.startswith(head.PART_PREFIX)
        ]
        self.assertGreater(len(sizes), 2)
        self.assertLessEqual(max(sizes), 512 * 1024)
        self.store.apply(change('c2'), add_budget('b7'))
        second = self.store.read().head
        new_parts = set(second.parts) - set(first.head.parts)
        self.assertLessEqual(len(new_parts), 2)
        with self.assertRaisesRegex(ConfigurationError, 'over 524288 bytes'):
            head.split_parts({'budget:b': 'x' * 524_289})

    def test_inconsistent_or_malformed_head_is_an_error(self) -> None:
        """Guards against a document joined from missing or wrong parts."""
        apply_sample(self.store)
        self.model.swap(head.HEAD_KEY, self.model.revision, b'{}')
        with self.assertRaisesRegex(ConfigurationError, 'configuration/head'):
            self.store.read()
        wrong = head.Head(2, 'f' * 64, (), ())
        with self.assertRaisesRegex(ConfigurationError, 'digest'):
            head.join_parts(wrong, {})
        with self.assertRaisesRegex(ConfigurationError, 'missing'):
            head.join_parts(head.Head(2, '', ('x',), ()), {})


class TestPartDeletion(StoreCase):
    """Deletion of parts that the head no longer lists."""

    def stored_digests(self) -> set[str]:
        """Return the digests of the stored parts."""
        prefix = head.PART_PREFIX
        return {key[len(prefix) :] for key in self.model.rows if prefix in key}

    def test_old_parts_are_deleted_and_a_reused_part_stays(self) -> None:
        """Guards against leaked parts, and against deleting a listed part."""
        for number in range(100):
            self.store.apply(change(f'c{number}'), add_budget(f'b{number}'))
        self.assertLessEqual(len(self.stored_digests()), 2 * head.CHANGES_KEPT)
        self.store.apply(change('back'), lambda _: add_budget('b0')({}))
        self.assertEqual(list(self.store.read().sections), ['budget:b0'])
        self.assertLessEqual(len(self.store.read().head.encode()), 20_000)

    def test_delete_races_with_a_writer_of_the_same_part(self) -> None:
        """Guards against deleting a part that a newer head lists again."""
        other_store = ConfigurationStore(ModelClient(self.model))
        for number in range(66):
            text = f'[budget:a]\nowner = m{number}\n'
            self.store.apply(change(f'c{number}'), lambda _, t=text: {'a': t})
        first = self.store.read().head.retired[0][0]

        def race(key: str) -> None:
            if key == f'{head.PART_PREFIX}{first}':
                self.client.before_swap = lambda _: None
                text = self.model.rows[key].value.decode()
                other_store.apply(change('theirs'), lambda _: {'a': text})

        self.client.before_swap = race
        edit = {'a': '[budget:a]\nowner = last\n'}
        self.store.apply(change('mine'), lambda _: edit)
        after = self.store.read()
        self.assertEqual(after.head.change_id, 'theirs')
        self.assertLessEqual(set(after.head.parts), self.stored_digests())


class TestFailures(StoreCase):
    """Changes that cannot be applied."""

    def test_invalid_result_changes_nothing(self) -> None:
        """Guards against storing a document that keepers reject."""
        apply_sample(self.store)
        before = dict(self.model.rows)
        edit = set_section('pool:x', '[pool:x]\nowner = x\n')
        with self.assertRaises(ConfigurationError):
            self.store.apply(change('bad'), edit)
        self.assertEqual(self.model.rows, before)

    def test_outage_is_reported_and_the_id_can_be_used_again(self) -> None:
        """Guards against applying a change twice when an operator retries."""
        self.client.down = True
        with self.assertRaises(StoreUnavailableError):
            apply_sample(self.store)
        self.client.down = False

        def lose_head_reply(key: str) -> bool:
            self.client.down = key == head.HEAD_KEY
            return self.client.down

        self.client.loses_reply = lose_head_reply
        with self.assertRaises(StoreUnavailableError):
            apply_sample(self.store, 'again')
        self.client.down = False
        apply_sample(self.store, 'again')
        self.assertEqual(self.store.read().head.revision, 1)

    def test_constant_contention_ends_in_a_conflict(self) -> None:
        """Guards against retrying forever under constant contention."""
        apply_sample(self.store)
        other_store = ConfigurationStore(ModelClient(self.model))
        numbers = iter(range(99))

        def race(key: str) -> None:
            if key == head.HEAD_KEY:
                name = f'r{next(numbers)}'
                other_store.apply(change(name), add_budget(name))

        self.client.before_swap = race
        with self.assertRaisesRegex(ConfigurationConflictError, '8 times'):
            self.store.apply(change('mine'), add_budget('mine'))
