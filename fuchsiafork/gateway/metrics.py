"""Metrics of a gateway."""

import prometheus_client as prom

# Seconds, from the shortest latency objective to the longest time limit.
_LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 15.0)
_RATIO_BUCKETS = (0.25, 0.5, 0.8, 1.25, 2.0, 4.0)


class GatewayMetrics:
    """Counters, gauges and histograms of one gateway."""

    def __init__(self) -> None:
        """Register all metrics in a registry separate from the default one."""
        self.registry = prom.CollectorRegistry()
        self.requests = prom.Counter(
            'fuchsiafork_gateway_requests',
            'Requests answered, by route and status.',
            ('route', 'status'),
            registry=self.registry,
        )
        self.refusals = prom.Counter(
            'fuchsiafork_gateway_refusals',
            'Requests refused or failed, by error code and run state.',
            ('code', 'run_state'),
            registry=self.registry,
        )
        self.failed_attempts = prom.Counter(
            'fuchsiafork_gateway_failed_attempts',
            'Requests that one target did not serve, by error code.',
            ('code',),
            registry=self.registry,
        )
        self.broken_attempts = prom.Counter(
            'fuchsiafork_gateway_broken_attempts',
            'Attempts whose connection ended before the whole answer, by '
            'whether the answer had begun.',
            ('begun',),
            registry=self.registry,
        )
        self.ended_targets = prom.Counter(
            'fuchsiafork_gateway_ended_targets',
            'Targets whose process ended while it answered a request of this '
            'VM, or right after it.',
            registry=self.registry,
        )
        self.quarantined_parts = prom.Gauge(
            'fuchsiafork_gateway_quarantined_parts',
            'Prompt parts that no target may get but for a probe.',
            registry=self.registry,
        )
        self.limited_targets = prom.Gauge(
            'fuchsiafork_gateway_limited_targets',
            'Targets that name a limit on the requests of all VMs.',
            registry=self.registry,
        )
        self.withdrawn_attempts = prom.Counter(
            'fuchsiafork_gateway_withdrawn_attempts',
            'Attempts that were not sent, as their target had stopped '
            'accepting requests.',
            registry=self.registry,
        )
        self.target_pauses = prom.Counter(
            'fuchsiafork_gateway_target_pauses',
            'Refusals with which targets requested a pause of this VM.',
            registry=self.registry,
        )
        self.unavailable_targets = prom.Gauge(
            'fuchsiafork_gateway_unavailable_targets',
            'Targets that get no requests, by service, state and source.',
            ('service', 'availability', 'source'),
            registry=self.registry,
        )
        self.permits = prom.Counter(
            'fuchsiafork_gateway_permits',
            'Permits asked for at limited targets, by decision.',
            ('decision',),
            registry=self.registry,
        )
        self.notices = prom.Counter(
            'fuchsiafork_gateway_notices',
            'Notices on prompt parts that were written, by kind.',
            ('kind',),
            registry=self.registry,
        )
        self.kept_bytes = prom.Gauge(
            'fuchsiafork_gateway_kept_bytes',
            'Estimated bytes of memory that callers take, by what they are.',
            ('kind',),
            registry=self.registry,
        )
        self.caller_connections = prom.Gauge(
            'fuchsiafork_gateway_caller_connections',
            'Open connections to the listeners, by group of listeners.',
            ('group',),
            registry=self.registry,
        )
        self.caller_limits = prom.Gauge(
            'fuchsiafork_gateway_caller_limits',
            'Limits on what callers take together, by resource.',
            ('resource',),
            registry=self.registry,
        )
        self.shed_connections = prom.Counter(
            'fuchsiafork_gateway_shed_connections',
            'Connections that were ended, and requests that were refused, '
            'for lack of memory or descriptors, by reason and stage.',
            ('reason', 'stage'),
            registry=self.registry,
        )
        self.forwarded_answers = prom.Counter(
            'fuchsiafork_gateway_forwarded_answers',
            'Answers that were forwarded as they arrived, as the memory for '
            'answers was taken up.',
            registry=self.registry,
        )
        self.waiting_requests = prom.Gauge(
            'fuchsiafork_gateway_waiting_requests',
            'Requests that wait for a place at engines, by service.',
            ('service',),
            registry=self.registry,
        )
        self.place_waits = prom.Histogram(
            'fuchsiafork_gateway_place_wait_seconds',
            'Time that requests waited for a place, by outcome: placed, left '
            'or the code of the error.',
            ('outcome',),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.overload_refusals = prom.Counter(
            'fuchsiafork_gateway_overload_refusals',
            'Requests refused as the places of the engines were taken, by '
            'reason.',
            ('reason',),
            registry=self.registry,
        )
        self.account_share = prom.Gauge(
            'fuchsiafork_gateway_account_share',
            'Share of the work that the fleet is asked for, by client account; '
            'those with most, and all others together.',
            ('account',),
            registry=self.registry,
        )
        self.duration = prom.Histogram(
            'fuchsiafork_gateway_request_seconds',
            'Time from a whole request to the end of its answer.',
            ('route',),
            buckets=_LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.output_ratio = prom.Histogram(
            'fuchsiafork_gateway_output_ratio',
            'Output tokens of whole answers as a multiple of the estimate.',
            ('route',),
            buckets=_RATIO_BUCKETS,
            registry=self.registry,
        )
        self.choices = prom.Counter(
            'fuchsiafork_gateway_choices',
            'Targets chosen by the work of all VMs, by how the target came to '
            'be compared.',
            ('reason',),
            registry=self.registry,
        )
        self.store_calls = prom.Counter(
            'fuchsiafork_gateway_store_calls',
            'Calls of the platform store, by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self.store_era = prom.Gauge(
            'fuchsiafork_gateway_store_era',
            'Era of the platform store, 0 unless it came back from a copy.',
            registry=self.registry,
        )
        self.control_bytes = prom.Counter(
            'fuchsiafork_gateway_control_bytes',
            'Bytes of calls to the store and to other VMs, by purpose.',
            ('purpose', 'direction'),
            registry=self.registry,
        )
        self.passed_on_changes = prom.Counter(
            'fuchsiafork_gateway_passed_on_changes',
            'Changes of the configuration and of orders that another VM '
            'brought before the store.',
            registry=self.registry,
        )
        self.late_notifications = prom.Counter(
            'fuchsiafork_gateway_late_notifications',
            'Changes in the store that another VM knew first and whose '
            'notification did not arrive, by prefix.',
            ['prefix'],
            registry=self.registry,
        )
        self.data_age = prom.Gauge(
            'fuchsiafork_gateway_age_seconds',
            'Time since contact about the configuration, the registry of '
            'targets and the ledger.',
            ('of',),
            registry=self.registry,
        )
        self.configuration_version = prom.Gauge(
            'fuchsiafork_gateway_configuration_version',
            'Version of the configuration in force, 0 before the first.',
            registry=self.registry,
        )
        self.in_flight = prom.Gauge(
            'fuchsiafork_gateway_requests_in_flight',
            'Requests that are being read or served.',
            registry=self.registry,
        )
        self.targets = prom.Gauge(
            'fuchsiafork_gateway_targets',
            'Targets known, by service.',
            ('service',),
            registry=self.registry,
        )
        self.tokens_available = prom.Gauge(
            'fuchsiafork_gateway_tokens_available',
            'Tokens that may be reserved now, by client account.',
            ('account',),
            registry=self.registry,
        )
        self.fleet_view_age = prom.Gauge(
            'fuchsiafork_gateway_fleet_view_age_seconds',
            'Age of what is known of the load of other VMs, infinite if '
            'nothing is.',
            registry=self.registry,
        )
        self.load_calls = prom.Counter(
            'fuchsiafork_gateway_load_calls',
            'Calls of other VMs about load, by outcome.',
            ('outcome',),
            registry=self.registry,
        )
        self.load_reports = prom.Gauge(
            'fuchsiafork_gateway_load_reports',
            'VMs whose reports on load this VM collects, itself included.',
            registry=self.registry,
        )
        self.task_failures = prom.Counter(
            'fuchsiafork_gateway_task_failures',
            'Background tasks that failed and were started again, by task.',
            ('task',),
            registry=self.registry,
        )
        self.lines_left_out = prom.Counter(
            'fuchsiafork_gateway_log_lines_left_out',
            'Log lines over the bound.',
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prom.generate_latest(self.registry)
