"""Tests of the log lines and metrics on control traffic."""

import unittest
from unittest import mock

from fuchsiafork.gateway.control_traffic import LOG_INTERVAL_S, ControlTraffic
from fuchsiafork.gateway.metrics import GatewayMetrics
from tests.gateway_case import GatewayCase


class TestControlTraffic(unittest.TestCase):
    """Bytes by purpose."""

    def setUp(self) -> None:
        """Start without traffic."""
        self.log = mock.Mock()
        self.metrics = GatewayMetrics()
        self.traffic = ControlTraffic(self.metrics.control_bytes, 0.0, self.log)

    def test_line_names_the_bytes_of_each_purpose(self) -> None:
        """Guards against a full link whose cause the log doesn't show."""
        self.traffic.record('fuchsiafork/ledger', 10, 2000)
        self.traffic.record('fuchsiafork/ledger', 10, 3000)
        self.traffic.record('op/', 0, 70)
        self.traffic.log_periodically(LOG_INTERVAL_S)
        self.log.info.assert_called_once_with(
            'control_traffic',
            seconds=LOG_INTERVAL_S,
            ledger_sent=20,
            ledger_received=5000,
            ledger_calls=2,
            op_sent=0,
            op_received=70,
            op_calls=1,
        )

    def test_no_line_before_the_interval_or_without_traffic(self) -> None:
        """Guards against a log that grows while nothing happens."""
        self.traffic.log_periodically(LOG_INTERVAL_S)
        self.traffic.record('op/', 0, 70)
        self.traffic.log_periodically(LOG_INTERVAL_S + 1)
        self.log.info.assert_not_called()


class TestCountedCalls(GatewayCase):
    """Calls of a running gateway."""

    async def test_configuration_and_ledger_are_counted(self) -> None:
        """Guards against calls that the metric leaves out."""
        await self.call_engine()
        text = self.gateway._shared.metrics.render().decode()
        for purpose in ('op', 'servers', 'ledger'):
            self.assertIn(f'purpose="{purpose}"', text)
