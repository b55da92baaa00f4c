"""Tests that the documentation pages and samples match the code."""

import re
import unittest
from pathlib import Path

from fuchsiafork.configuration import parse_document, reference
from fuchsiafork.kernel import CODES

_ROOT = Path(__file__).parents[1]
_ERROR_ROW = re.compile(
    r'^\| (\d+) \| (\w+) \| (\d+) \| (\w+) \| (yes|no) \| .+ \| .+ \|$',
    re.MULTILINE,
)


class TestPages(unittest.TestCase):
    """Documentation pages."""

    def test_error_table(self) -> None:
        """Guards against an error code that is not documented."""
        page = (_ROOT / 'docs' / 'errors.md').read_text(encoding='utf-8')
        expected = [
            (
                str(code),
                error.__name__,
                str(error.status),
                str(error.run_state),
                'yes' if error.retry_safe else 'no',
            )
            for code, error in sorted(CODES.items())
        ]
        self.assertEqual(_ERROR_ROW.findall(page), expected)

    def test_configuration_page(self) -> None:
        """Guards against an outdated page."""
        page = reference.PAGE.read_text(encoding='utf-8')
        self.assertEqual(page, reference.render())


class TestSamples(unittest.TestCase):
    """Sample documents."""

    def test_samples_have_the_stated_sizes(self) -> None:
        """Guards against samples that are invalid or differ in size."""
        sizes = {'qalyub': (3, 6, 3), 'kilele': (4, 6, 4)}
        for name, expected in sizes.items():
            path = _ROOT / 'samples' / f'{name}.ini'
            document = parse_document(path.read_text(encoding='utf-8'), name)
            targets = document.targets.values()
            pools = [
                document.versions[target.version].pool for target in targets
            ]
            engines = pools.count('assistant')
            domains = len({target.domain for target in targets})
            found = (domains, engines, len(pools) - engines)
            self.assertEqual(found, expected, name)
            self.assertEqual(len(document.accounts), 10)
