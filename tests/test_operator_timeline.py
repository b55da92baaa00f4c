"""Tests of the timeline of the processes' events."""

import contextlib
import dataclasses
import http.server
import io
import itertools
import json
import threading
import unittest
from unittest import mock

from fuchsiafork.kernel import Event, Stamp
from fuchsiafork.timeline import admin
from fuchsiafork.timeline.__main__ import (
    follow_events,
    show_once,
    timeline,
)
from fuchsiafork.timeline.collect import Collector
from fuchsiafork.timeline.merge import EventFilter, Merger


class AdminServer:
    """Serves a process's admin address with responses set by the test."""

    def __init__(self, case: unittest.TestCase, node: str) -> None:
        """Serve until the test ends."""
        self.node = node
        self.incarnation = 'i1'
        self.revision = 1
        self.admins: tuple[str, ...] = ()
        self.events: list[Event] = []
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                """Respond to one request."""
                self.send_response(200)
                self.end_headers()
                self.wfile.write(outer.response_body(self.path))

            def log_message(self, *parts: object) -> None:
                """Log nothing."""

        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), Handler
        )
        thread = threading.Thread(target=self._server.serve_forever)
        thread.start()
        case.addCleanup(thread.join)
        case.addCleanup(self._server.server_close)
        case.addCleanup(self._server.shutdown)
        self.address = f'127.0.0.1:{self._server.server_port}'

    def response_body(self, path: str) -> bytes:
        """Return the response body for a path."""
        if path == '/status':
            status = {'node': self.node, 'domain': 'd', 'role': 'keeper'}
            status.update(revision=self.revision, admins=self.admins)
            status.update(incarnation=self.incarnation)
            return json.dumps(status).encode()
        since = int(path.partition('=')[2])
        kept = [row for row in self.events if row.number > since]
        return json.dumps([
            dataclasses.asdict(row) for row in kept[:2]
        ]).encode()

    def record(self, wall_ms: int, **fields: object) -> None:
        """Add an event."""
        stamp = Stamp(wall_ms, 0, self.node)
        number = len(self.events) + 1
        self.events.append(Event(number, stamp, 'happened', fields))


class TestTimeline(unittest.TestCase):
    """Merging, filtering and following events."""

    def test_events_are_merged_and_filtered(self) -> None:
        """Guards against showing an effect before its cause."""
        first, second = AdminServer(self, 'a'), AdminServer(self, 'b')
        first.admins = (second.address,)
        for wall_ms in (3, 1):
            first.record(wall_ms, account='x')
        second.record(2, account='x')
        second.record(0, account='y')
        collector = Collector(admin.AdminClient(), [first.address])
        shown: list[Event] = []
        exit_code = show_once(
            collector, EventFilter(account='x'), shown.append, 99
        )
        self.assertEqual([row.stamp.wall_ms for row in shown], [1, 2, 3])
        self.assertEqual(exit_code, 0)
        first.record(9, account='x')
        second.events = []
        second.incarnation = 'i2'
        second.record(8, account='z')
        self.assertEqual(len(list(collector.poll())), 1)
        collector.discover()
        self.assertEqual([row.stamp.wall_ms for row in collector.poll()], [8])
        first.events = []
        self.assertEqual(list(collector.poll()), [])
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            timeline(second.address, as_json=True)
        self.assertEqual(json.loads(out.getvalue())['fields'], {'account': 'z'})

    def test_follow_shows_new_events_after_the_hold_time(self) -> None:
        """Guards against showing nothing, or showing events too early."""
        server = AdminServer(self, 'a')
        server.record(1)
        collector = Collector(admin.AdminClient(), [server.address])
        show = mock.Mock(side_effect=KeyboardInterrupt)
        path = 'fuchsiafork.timeline.__main__.time'
        with mock.patch(path) as time:
            time.monotonic.side_effect = itertools.count()
            with self.assertRaises(KeyboardInterrupt):
                follow_events(collector, EventFilter(), show, 9)
        show.assert_called_once_with(server.events[0])
        self.assertGreater(time.sleep.call_count, 0)

    def test_gap_in_a_ring_buffer_is_counted(self) -> None:
        """Guards against missing events that are not reported."""
        server = AdminServer(self, 'a')
        server.record(1)
        collector = Collector(admin.AdminClient(), [server.address])
        list(collector.poll())
        for wall_ms in range(2, 7):
            server.record(wall_ms)
        server.events = server.events[-2:]
        list(collector.poll())
        self.assertEqual(collector.missed_events, 3)

    def test_late_event_is_released_in_order_and_memory_is_bounded(
        self,
    ) -> None:
        """Guards against a buffer that grows with a busy fleet."""
        merger = Merger(limit=3, hold_s=2)
        events = [
            Event(1, Stamp(wall_ms, 0, 'a'), 'k', {}) for wall_ms in range(9)
        ]
        merger.add(events[5], 0)
        merger.add(events[4], 1)
        self.assertEqual(merger.release(1), [])
        self.assertEqual(merger.release(2), [events[4], events[5]])
        for event in events:
            merger.add(event, 3)
        self.assertEqual(merger.dropped_events, 6)
        self.assertEqual(merger.release(5), events[-3:])
