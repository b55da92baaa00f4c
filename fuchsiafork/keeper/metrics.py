"""Metrics of the keeper, computed from its state at each scrape."""

from collections.abc import Callable, Iterator

import prometheus_client as prom
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from fuchsiafork.links.hub import LinkCounters

Gauges = Callable[[], dict[str, float]]


class KeeperMetrics(Collector):
    """Prometheus collector of one keeper process."""

    def __init__(
        self,
        gauges: Gauges,
        links: LinkCounters,
        violations: Callable[[], dict[str, int]],
    ) -> None:
        """Create a registry and register the collector in it."""
        self.registry = prom.CollectorRegistry()
        self._gauges = gauges
        self._links = links
        self._violations = violations
        self.registry.register(self)
        prom.ProcessCollector(registry=self.registry)

    def collect(
        self,
    ) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Yield every metric with its current value."""
        for name, value in self._gauges().items():
            yield GaugeMetricFamily(f'fuchsiafork_{name}', name, value)
        links = self._links
        yield _counter('link_frames_in', links.frames_in)
        yield _counter('link_frames_out', links.frames_out)
        yield _counter('link_bytes_in', links.bytes_in)
        yield _counter('link_bytes_out', links.bytes_out)
        yield _counter('link_frames_dropped', links.dropped)
        yield _counter('link_frames_invalid', links.invalid)
        family = CounterMetricFamily(
            'fuchsiafork_invariant_violations',
            'Conditions that must always hold and did not.',
            labels=('invariant',),
        )
        for invariant, count in self._violations().items():
            family.add_metric((invariant,), count)
        yield family


def _counter(name: str, value: int) -> CounterMetricFamily:
    """Return a counter metric with the prefix of the project."""
    return CounterMetricFamily(f'fuchsiafork_{name}', name, value)
