"""Counts the bytes that a VM exchanges for control, by purpose."""

import collections
from typing import Any

import prometheus_client as prom

# Time between two log lines on the traffic.
LOG_INTERVAL_S = 5.0


class ControlTraffic:
    """Bytes of the bodies of calls to the store and to other VMs."""

    def __init__(self, counter: prom.Counter, now: float, log: Any) -> None:
        """
        Start without traffic.

        :param counter: metric with the labels ``purpose`` and ``direction``.
        :param now: current time, seconds.
        """
        self._counter = counter
        self._log = log
        self._since_line: collections.Counter[str] = collections.Counter()
        self._logged_at = now

    def record(self, key: str, sent: int, received: int) -> None:
        """
        Count the bytes of one call.

        :param key: key or prefix of the call; its last part is the purpose.
        """
        purpose = key.strip('/').rpartition('/')[2]
        for direction, size in (('sent', sent), ('received', received)):
            self._counter.labels(purpose, direction).inc(size)
            self._since_line[f'{purpose}_{direction}'] += size
        self._since_line[f'{purpose}_calls'] += 1

    def log_periodically(self, now: float) -> None:
        """Log the traffic since the last line, if it is due and not zero."""
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        if self._since_line:
            seconds = round(now - self._logged_at, 1)
            self._log.info(
                'control_traffic', seconds=seconds, **self._since_line
            )
        self._since_line.clear()
        self._logged_at = now


__all__ = ('ControlTraffic',)
