"""Changes that VMs pass on to each other."""

import contextlib
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiafork.gateway.item_mirror import MAX_KEPT_VALUES, ItemMirror
from fuchsiafork.kernel.decoding import DECODE_ERRORS
from fuchsiafork.platform.store import Changes, Item
from fuchsiafork.replication import (
    Delta,
    DeltaError,
    apply_delta,
    encode_answer,
    make_delta,
    read_answer,
    read_request,
)
from tests.gateway_case import make_configuration

KEY = 'op/config'
_VALUES = st.lists(st.sampled_from([b'a', b'}', b'{b', b'']), max_size=12).map(
    b''.join
)
_CONTENT = st.recursive(
    st.none() | st.integers() | st.text(max_size=9) | st.floats(),
    lambda inner: st.lists(inner, max_size=4),
)


def encode_routes(*numbers: int) -> bytes:
    """Return a document with some routes."""
    routes = [{'name': f'r-{n}', 'split': [{'n': n}]} for n in numbers]
    return json.dumps({**make_configuration(), 'routes': routes}).encode()


class TestDelta(unittest.TestCase):
    """Differences between two values."""

    @settings(derandomize=True, max_examples=300)
    @given(_VALUES, _VALUES)
    def test_value_is_restored(self, base: bytes, value: bytes) -> None:
        """Guards against a value that differs from the one sent."""
        delta = make_delta(base, value)
        self.assertEqual(apply_delta(base, delta), value)

    def test_changed_document_takes_few_ranges(self) -> None:
        """Guards against differences as large as the document."""
        base = encode_routes(*range(500))
        value = encode_routes(*range(200), 900, *range(200, 499))
        delta = make_delta(base, value)
        self.assertLess(len(delta.ranges), 8)
        self.assertLess(len(delta.added), 400)

    def test_other_base_is_noticed(self) -> None:
        """Guards against joining parts of two versions."""
        delta = make_delta(encode_routes(1, 2), encode_routes(1, 3))
        with self.assertRaises(DeltaError):
            apply_delta(encode_routes(2, 1), delta)

    def test_malformed_pieces_are_noticed(self) -> None:
        """Guards against an unexpected error at the VM that receives them."""
        whole = make_delta(None, b'x' * 100)
        for added in (b'', b'no zlib', whole.added[:-3]):
            delta = Delta('', whole.digest, whole.ranges, added)
            with self.assertRaises(DeltaError):
                apply_delta(None, delta)


class TestMessages(unittest.TestCase):
    """Requests and answers between VMs."""

    @settings(derandomize=True, max_examples=300)
    @given(_CONTENT)
    def test_invalid_content_raises_a_decode_error(
        self, content: object
    ) -> None:
        """Guards against a task that ends on a malformed message."""
        for read in (read_request, read_answer):
            with contextlib.suppress(*DECODE_ERRORS):
                read(content)


class TestMirror(unittest.TestCase):
    """What two VMs know of the same items."""

    def setUp(self) -> None:
        """Start with a source and a receiver that know the same document."""
        self.source, self.receiver = ItemMirror(), ItemMirror()
        listing = Changes(
            (Item(KEY, 5, encode_routes(1, 2)), Item('op/order', 3, b'{}')), 7
        )
        self.source.apply_listing(listing)
        self.receiver.apply_listing(listing)

    def transfer(self) -> Changes:
        """Pass the changes of the source on to the receiver."""
        mirror = self.receiver
        call = [mirror.era, mirror.revision, mirror.digests, 1.0]
        request = read_request(json.loads(json.dumps(call)))
        answer = encode_answer(self.source.answer(request))
        changes = self.receiver.read(
            read_answer(json.loads(json.dumps(answer)))
        )
        self.receiver.apply(changes)
        return changes

    def test_changes_since_a_revision_are_passed_on(self) -> None:
        """Guards against a version or an order that is left out."""
        value = encode_routes(1, 2, 3)
        self.source.apply(Changes((Item(KEY, 9, value),), 9))
        self.source.apply(Changes((Item('op/order', 11, b'new'),), 12))
        expected = (Item(KEY, 9, value), Item('op/order', 11, b'new'))
        self.assertEqual(self.transfer(), Changes(expected, 12))
        self.assertEqual(self.transfer().items, ())

    def test_item_missing_from_a_listing_is_passed_on_as_deleted(self) -> None:
        """Guards against an order that lives on at some VMs."""
        document = Item(KEY, 5, encode_routes(1, 2))
        self.source.apply_listing(Changes((document,), 9))
        self.assertEqual(self.transfer().items, (Item('op/order', 9, None),))

    def test_unknown_base_is_sent_whole(self) -> None:
        """Guards against a VM that can't follow after it was away."""
        for revision in range(8, 30):
            value = encode_routes(revision)
            self.source.apply(Changes((Item(KEY, revision, value),), revision))
        self.assertEqual(self.transfer().items[0].value, encode_routes(29))
        late = ItemMirror()
        late.apply_listing(Changes((Item(KEY, 5, encode_routes(1, 2)),), 7))
        self.receiver = late
        self.assertEqual(self.transfer().items[0].value, encode_routes(29))

    def test_nothing_new_is_no_change(self) -> None:
        """Guards against calls that are answered again and again at once."""
        request = read_request([0, 7, {}, 1.0])
        self.assertFalse(self.source.has_changes(request))
        later_page = Changes((Item('op/z', 9, b'{}'),), 7)
        self.source.apply(later_page)
        self.assertFalse(self.source.has_changes(request))
        self.source.apply(Changes((), 9))
        self.assertTrue(self.source.has_changes(request))

    def test_value_that_is_no_longer_kept_is_sent_whole(self) -> None:
        """Guards against differences from a value that one VM has dropped."""
        items = [
            Item(f'op/{number}', number + 1, encode_routes(*range(number, 90)))
            for number in range(MAX_KEPT_VALUES + 2)
        ]
        self.source.apply_listing(Changes(tuple(items), 50))
        self.receiver.apply_listing(Changes(tuple(reversed(items)), 50))
        changed = Item(items[-1].key, 60, encode_routes(7))
        self.source.apply(Changes((changed,), 60))
        self.assertEqual(self.transfer().items, (changed,))
