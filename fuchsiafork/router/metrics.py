"""Metrics of the router."""

import prometheus_client as prom

# Seconds; the objective is a 95th percentile of 1.5 s.
_LATENCY_BUCKETS = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)


class RouterMetrics:
    """Counters and gauges of one router process."""

    def __init__(self) -> None:
        """Register all metrics in a separate registry."""
        self.registry = prom.CollectorRegistry()
        self.requests = prom.Counter(
            'fuchsiafork_requests',
            'Requests answered, by route and target version.',
            ('route', 'version'),
            registry=self.registry,
        )
        self.refusals = prom.Counter(
            'fuchsiafork_refusals',
            'Requests refused or failed, by error code and run state.',
            ('code', 'run_state'),
            registry=self.registry,
        )
        self.tokens = prom.Counter(
            'fuchsiafork_tokens',
            'Tokens billed, by client account.',
            ('account',),
            registry=self.registry,
        )
        self.in_flight = prom.Gauge(
            'fuchsiafork_requests_in_flight',
            'Requests that a worker thread is serving.',
            registry=self.registry,
        )
        self.duration = prom.Histogram(
            'fuchsiafork_request_duration_seconds',
            'Time from the request to the end of its answer.',
            ('route',),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
