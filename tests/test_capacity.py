"""Tests of the fit and of the sums on the capacity page."""

import dataclasses
import unittest

from fuchsiafork.messages import HeartbeatAck
from measurements import capacity_page, capacity_rows
from measurements.capacity_fit import Series, fit
from measurements.capacity_nodes import LoneKeeper
from measurements.capacity_sums import sums
from measurements.capacity_time import heartbeat


class TestFit(unittest.TestCase):
    """Lines through points."""

    def test_known_line(self) -> None:
        """Guards against slopes that are not those of the points."""
        line = fit([(size, 7 + 3 * size) for size in (2, 5, 11, 40)])
        self.assertAlmostEqual(line.slope, 3)
        self.assertAlmostEqual(line.intercept, 7)
        self.assertAlmostEqual(line.r2, 1)

    def test_least_squares(self) -> None:
        """Guards against a line through the first and last point only."""
        line = fit([(0, 0), (1, 3), (2, 0), (3, 3)])
        self.assertAlmostEqual(line.slope, 0.6)
        self.assertAlmostEqual(line.intercept, 0.6)
        self.assertLess(line.r2, 0.5)

    def test_one_size_is_refused(self) -> None:
        """Guards against a slope from a single size."""
        with self.assertRaises(ValueError):
            fit([(4, 1), (4, 2)])
        self.assertFalse(Series('a', 'b', ((1, 1), (2, 2))).usable)


class TestPage(unittest.TestCase):
    """docs/CAPACITY.md."""

    def test_page_follows_the_points(self) -> None:
        """Guards against sums that the committed slopes do not give."""
        page = capacity_page.PAGE.read_text(encoding='utf-8')
        found = capacity_page.committed()
        self.assertTrue(all(series.usable for series in found.values()))
        for name, text in capacity_page.blocks(found).items():
            self.assertIn(text, page, name)

    def test_other_points_give_another_page(self) -> None:
        """Guards against a check that no change of a slope would fail."""
        page = capacity_page.PAGE.read_text(encoding='utf-8')
        found = capacity_page.committed()
        series = found['idle_bytes']
        points = tuple((size, 3 * figure) for size, figure in series.points)
        found['idle_bytes'] = Series(series.name, series.unit, points)
        self.assertNotIn(capacity_page.blocks(found)['keeper'], page)

    def test_broken_limits_are_named(self) -> None:
        """Guards against a broken limit that the page passes over."""
        rows = sums(capacity_page.committed())
        over = [row for row in rows if row.figure > row.limit]
        table = capacity_page.over_table(rows)
        self.assertTrue(over)
        for row in over:
            self.assertIn('**over**', row.render())
            self.assertIn(f'| {row.role}: {row.name} |', table)

    def test_target_size(self) -> None:
        """Guards against sums for another fleet than the stated one."""
        self.assertEqual(capacity_rows.PEERS, 69)
        self.assertEqual(capacity_rows.PER_DOMAIN, 60)


class TestLoneKeeper(unittest.TestCase):
    """The keeper whose ticks are timed."""

    def test_beats_reach_every_peer(self) -> None:
        """Guards against slopes of a keeper that does nothing."""
        keeper = LoneKeeper(5)
        for _ in range(10):
            keeper.step()
        self.assertEqual(keeper.sent['Heartbeat'], 5 * 2)

    def test_only_other_domains_get_answers(self) -> None:
        """Guards against an answer to every heartbeat of the own domain."""
        keeper = LoneKeeper(2)
        own = keeper.context.identity.node
        near = heartbeat()
        far = dataclasses.replace(near, node='b-1/keeper', domain='delta-b')
        for beat in (near, far):
            keeper.node.receive(beat, beat.node, own)
        sends, _ = keeper.context.outbox.drain()
        answered = [
            send.destination
            for send in sends
            if isinstance(send.message, HeartbeatAck)
        ]
        self.assertEqual(answered, ['b-1/keeper'])
