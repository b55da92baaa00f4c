"""The operators' pages against the programs."""

import pathlib
import re
import unittest

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.keeper.composition import make_systems
from fuchsiafork.keeper.metrics import KeeperMetrics
from fuchsiafork.links.hub import LinkCounters
from fuchsiafork.router.metrics import RouterMetrics
from tests.test_kernel import make_context

_DOCS = pathlib.Path(__file__).parent.parent / 'docs'
_SOURCES = _DOCS.parent / 'fuchsiafork'
_ROW = re.compile(r'^\| `(fuchsiafork_\w+)` \| (\w+)', re.MULTILINE)
_LINK = re.compile(r'\]\(([\w.-]+\.md)\)')


class TestPages(unittest.TestCase):
    """docs/metrics.md and docs/OPERATIONS.md."""

    def test_every_metric_has_its_row(self) -> None:
        """Guards against a metric that nobody explains, or a stale row."""
        page = (_DOCS / 'metrics.md').read_text(encoding='utf-8')
        gateway, _, rest = page.partition('## Router')
        router, _, keeper = rest.partition('## Keeper')
        systems = make_systems(make_context(), '127.0.0.1:1')
        registry = KeeperMetrics(systems.gauges, LinkCounters(), dict).registry
        for text, found in (
            (gateway, GatewayMetrics().registry),
            (router, RouterMetrics().registry),
            (keeper, registry),
        ):
            exported = {
                (family.name, family.type)
                for family in found.collect()
                if family.name.startswith('fuchsiafork_')
            }
            self.assertEqual(set(_ROW.findall(text)), exported)

    def test_operations_page_names_what_exists(self) -> None:
        """Guards against events and pages that are no longer there."""
        page = (_DOCS / 'OPERATIONS.md').read_text(encoding='utf-8')
        for name in _LINK.findall(page):
            self.assertTrue((_DOCS / name).exists(), name)
        sources = ''.join(
            path.read_text(encoding='utf-8') for path in _SOURCES.rglob('*.py')
        )
        for name in re.findall(r'`([a-z]+_[a-z_]+)`', page):
            self.assertIn(name.removeprefix('fuchsiafork_'), sources, name)
