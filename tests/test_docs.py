"""Tests that the pages and samples follow the code."""

import re
import unittest
from pathlib import Path

from fuchsiafork.configuration import parse_document, reference
from fuchsiafork.kernel import CODES

_ROOT = Path(__file__).parents[1]
_ROW = re.compile(
    r'^\| (\d+) \| (\w+) \| (\d+) \| (\w+) \| (yes|no) \| .+ \| .+ \|$',
    re.MULTILINE,
)


class TestPages(unittest.TestCase):
    """Pages under docs."""

    def test_error_table(self) -> None:
        """Guards against a code that operators cannot look up."""
        page = (_ROOT / 'docs' / 'errors.md').read_text(encoding='utf-8')
        expected = [
            (
                str(code),
                kind.__name__,
                str(kind.status),
                str(kind.run_state),
                'yes' if kind.retry_safe else 'no',
            )
            for code, kind in sorted(CODES.items())
        ]
        self.assertEqual(_ROW.findall(page), expected)

    def test_configuration_page(self) -> None:
        """Guards against a page that describes other keys."""
        page = reference.PAGE.read_text(encoding='utf-8')
        self.assertEqual(page, reference.render())


class TestSamples(unittest.TestCase):
    """Sample documents."""

    def test_samples_have_the_stated_sizes(self) -> None:
        """Guards against samples that are invalid or of another size."""
        sizes = {'qalyub': (3, 6, 3), 'kilele': (4, 6, 4)}
        for name, expected in sizes.items():
            path = _ROOT / 'samples' / f'{name}.ini'
            document = parse_document(path.read_text(encoding='utf-8'), name)
            targets = document.targets.values()
            pools = [document.versions[row.version].pool for row in targets]
            engines = pools.count('assistant')
            domains = len({row.domain for row in targets})
            found = (domains, engines, len(pools) - engines)
            self.assertEqual(found, expected, name)
            self.assertEqual(len(document.accounts), 10)
