"""Tests of the stored document: parts, head, races and lost answers."""

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
    """Runs operations on the model, with faults set by the test."""

    def __init__(self, model: StoreModel) -> None:
        """Start without faults."""
        self.model = model
        self.down = False
        self.lose: Callable[[str], bool] = lambda key: False
        self.before_swap: Callable[[str], None] = lambda key: None

    def execute(self, operation: Any) -> Any:
        """Return the answer of an operation."""
        if self.down:
            return store_failure(operation, unknown=False)
        writes = isinstance(operation, CompareAndSwap)
        if writes:
            self.before_swap(operation.key)
        answer = apply_operation(operation, self.model)
        if writes and self.lose(operation.key):
            return store_failure(operation, unknown=True)
        return answer


def change(name: str, owner: str = 'money') -> head.Change:
    """Return a change by an owner."""
    return head.Change(name, owner, 'tester', 1_800_000_000)


def put(title: str, text: str) -> Callable[..., sections.Sections]:
    """Return an edit that sets one section."""
    return lambda present: {**present, title: text}


def budget(name: str) -> Callable[..., sections.Sections]:
    """Return an edit that adds a budget."""
    return put(f'budget:{name}', f'[budget:{name}]\nowner = money\n')


def one_more(present: sections.Sections) -> sections.Sections:
    """Return one budget more; each call changes something."""
    return budget(f'more-{len(present)}')(present)


def apply_sample(store: ConfigurationStore, name: str = 'first') -> None:
    """Apply the sample document."""
    store.apply(change(name), lambda _: sections.split_sections(SAMPLE))


def lost(chance: random.Random, key: str) -> bool:
    """Return whether an answer is lost."""
    return chance.random() < 0.4


class StoreCase(unittest.TestCase):
    """Base with one operator."""

    def setUp(self) -> None:
        self.model = StoreModel(VirtualClock().now)
        self.client = ModelClient(self.model)
        self.store = ConfigurationStore(self.client)


class TestParts(StoreCase):
    """The document under its bound for a value."""

    def test_large_document_is_cut_and_mostly_reused(self) -> None:
        """Guards against values over the bound, or all written again."""
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
        self.store.apply(change('c2'), budget('b7'))
        second = self.store.read().head
        fresh = set(second.parts) - set(first.head.parts)
        self.assertLessEqual(len(fresh), 2)
        with self.assertRaisesRegex(ConfigurationError, 'over 524288 bytes'):
            head.split_parts({'budget:b': 'x' * 524_289})

    def test_torn_or_malformed_head_is_an_error(self) -> None:
        """Guards against a document put together from other parts."""
        apply_sample(self.store)
        self.model.swap(head.HEAD_KEY, self.model.revision, b'{}')
        with self.assertRaisesRegex(ConfigurationError, 'configuration/head'):
            self.store.read()
        wrong = head.Head(2, 'f' * 64, (), ())
        with self.assertRaisesRegex(ConfigurationError, 'digest'):
            head.join_parts(wrong, {})
        with self.assertRaisesRegex(ConfigurationError, 'missing'):
            head.join_parts(head.Head(2, '', ('x',), ()), {})


class TestGarbage(StoreCase):
    """Parts that no head names any more."""

    def keys(self) -> set[str]:
        """Return the digests of the stored parts."""
        prefix = head.PART_PREFIX
        return {key[len(prefix) :] for key in self.model.rows if prefix in key}

    def test_old_parts_go_and_a_reused_part_stays(self) -> None:
        """Guards against a service that fills up, and a torn head."""
        for number in range(100):
            self.store.apply(change(f'c{number}'), budget(f'b{number}'))
        self.assertLessEqual(len(self.keys()), 2 * head.CHANGES_KEPT)
        self.store.apply(change('back'), lambda _: budget('b0')({}))
        self.assertEqual(list(self.store.read().sections), ['budget:b0'])
        self.assertLessEqual(len(self.store.read().head.encode()), 20_000)

    def test_delete_races_with_a_writer_of_the_same_part(self) -> None:
        """Guards against a delete that tears the head that came after."""
        rival = ConfigurationStore(ModelClient(self.model))
        for number in range(66):
            text = f'[budget:a]\nowner = m{number}\n'
            self.store.apply(change(f'c{number}'), lambda _, t=text: {'a': t})
        first = self.store.read().head.retired[0][0]

        def race(key: str) -> None:
            if key == f'{head.PART_PREFIX}{first}':
                self.client.before_swap = lambda _: None
                text = self.model.rows[key].value.decode()
                rival.apply(change('theirs'), lambda _: {'a': text})

        self.client.before_swap = race
        edit = {'a': '[budget:a]\nowner = last\n'}
        self.store.apply(change('mine'), lambda _: edit)
        after = self.store.read()
        self.assertEqual(after.head.change_id, 'theirs')
        self.assertLessEqual(set(after.head.parts), self.keys())


class TestFailures(StoreCase):
    """Changes that cannot be applied."""

    def test_invalid_result_changes_nothing(self) -> None:
        """Guards against a document that no keeper can bring into force."""
        apply_sample(self.store)
        before = dict(self.model.rows)
        edit = put('pool:x', '[pool:x]\nowner = x\n')
        with self.assertRaises(ConfigurationError):
            self.store.apply(change('bad'), edit)
        self.assertEqual(self.model.rows, before)

    def test_outage_is_reported_and_the_id_can_be_used_again(self) -> None:
        """Guards against a change made twice by an operator's retry."""
        self.client.down = True
        with self.assertRaises(StoreUnavailableError):
            apply_sample(self.store)
        self.client.down = False

        def cut(key: str) -> bool:
            self.client.down = key == head.HEAD_KEY
            return self.client.down

        self.client.lose = cut
        with self.assertRaises(StoreUnavailableError):
            apply_sample(self.store, 'again')
        self.client.down = False
        apply_sample(self.store, 'again')
        self.assertEqual(self.store.read().head.revision, 1)

    def test_constant_rivals_end_in_a_conflict(self) -> None:
        """Guards against an operator's program that never ends."""
        apply_sample(self.store)
        rival = ConfigurationStore(ModelClient(self.model))
        numbers = iter(range(99))

        def race(key: str) -> None:
            if key == head.HEAD_KEY:
                name = f'r{next(numbers)}'
                rival.apply(change(name), budget(name))

        self.client.before_swap = race
        with self.assertRaisesRegex(ConfigurationConflictError, '8 times'):
            self.store.apply(change('mine'), budget('mine'))
