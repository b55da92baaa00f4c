"""Metrics of the keeper, read from its tables when they are collected."""

from collections.abc import Callable, Iterator

import prometheus_client as prom
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from fuchsiafork.links.hub import LinkCounters

Gauges = Callable[[], dict[str, float]]


class KeeperMetrics(Collector):
    """Figures of one keeper process."""

    def __init__(
        self,
        gauges: Gauges,
        links: LinkCounters,
        violations: Callable[[], dict[str, int]],
    ) -> None:
        """Register in a registry of its own."""
        self.registry = prom.CollectorRegistry()
        self._gauges = gauges
        self._links = links
        self._violations = violations
        self.registry.register(self)
        prom.ProcessCollector(registry=self.registry)

    def collect(
        self,
    ) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Yield every metric with its present figure."""
        for name, figure in self._gauges().items():
            yield GaugeMetricFamily(f'fuchsiafork_{name}', name, figure)
        links = self._links
        yield _count('link_frames_in', links.frames_in)
        yield _count('link_frames_out', links.frames_out)
        yield _count('link_bytes_in', links.bytes_in)
        yield _count('link_bytes_out', links.bytes_out)
        yield _count('link_frames_dropped', links.dropped)
        yield _count('link_frames_invalid', links.invalid)
        family = CounterMetricFamily(
            'fuchsiafork_invariant_violations',
            'Conditions that must always hold and did not.',
            labels=('invariant',),
        )
        for invariant, count in self._violations().items():
            family.add_metric((invariant,), count)
        yield family


def _count(name: str, figure: int) -> CounterMetricFamily:
    """Return a counter."""
    return CounterMetricFamily(f'fuchsiafork_{name}', name, figure)
