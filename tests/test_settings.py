"""Tests of settings files and log lines."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

import structlog

from fuchsiafork.kernel.errors import SettingsError
from fuchsiafork.observability.logs import configure_logs, get_logger
from fuchsiafork.settings import (
    KeeperSettings,
    RouterSettings,
    load_settings,
    reference,
)

_KEEPER = """
[vm]
name = delta-a-1
domain = delta-a
[keeper]
listen = 127.0.0.1:7000
admin = 127.0.0.1:7001
peers = 127.0.0.2:7000, 127.0.0.3:7000
token = sixteen-or-more-characters
[store]
urls = http://127.0.0.1:2379
"""


class TestSettings(unittest.TestCase):
    """Loading of settings files."""

    def load(self, text: str, model: type = KeeperSettings) -> object:
        """Load settings from a temporary file with the given text."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'x.ini'
            path.write_text(text, encoding='utf-8')
            return load_settings(path, model)

    def test_keeper_file(self) -> None:
        """Guards against losing lists and defaults."""
        settings = self.load(_KEEPER)
        self.assertEqual(len(settings.keeper.peers), 2)
        self.assertEqual(settings.store.timeout_s, 2)
        self.assertNotIn('sixteen', repr(settings))

    def test_every_error_is_reported_with_its_location(self) -> None:
        """Guards against starting with a mistyped key or address."""
        text = _KEEPER.replace('listen = 127.0.0.1:7000', 'lisen = 1')
        text = text.replace('token = sixteen-or-more-characters', 'token = s3')
        with self.assertRaises(SettingsError) as caught:
            self.load(text.replace('127.0.0.1:7001', 'localhost:7001'))
        lines = str(caught.exception).splitlines()
        for key in ('listen', 'lisen', 'admin', 'token'):
            found = [line for line in lines if f'[keeper] {key}:' in line]
            self.assertEqual(len(found), 1, lines)
        self.assertIn('code 1101', lines[0])
        self.assertNotIn('s3', str(caught.exception))

    def test_unreadable_files(self) -> None:
        """Guards against a traceback instead of an error with a code."""
        for text in ('[vm', 'name = 1', '[vm]\nname=a\nname=b'):
            with self.assertRaises(SettingsError):
                self.load(text, RouterSettings)
        with self.assertRaises(SettingsError):
            load_settings('/nonexistent.ini', RouterSettings)

    def test_reference_page_is_up_to_date(self) -> None:
        """Guards against an outdated page."""
        page = reference.PAGE.read_text(encoding='utf-8')
        self.assertEqual(page, reference.render())
        self.assertNotIn('None', page)


class TestLogs(unittest.TestCase):
    """Format of log lines."""

    def test_one_line_for_each_event(self) -> None:
        """Guards against values that split a log line."""
        self.addCleanup(structlog.reset_defaults)
        stream = io.StringIO()
        with contextlib.redirect_stdout(stream):
            configure_logs('info')
            log = get_logger('fuchsiafork.test')
            log.debug('hidden')
            log.info('shown', value='two\nlines', count=1, ok=True)
        (line,) = stream.getvalue().splitlines()
        self.assertIn('level=info logger=fuchsiafork.test event=shown', line)
        self.assertIn('count=1 ok=true', line)
