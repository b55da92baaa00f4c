"""Applies what other VMs tell of their load, and reports this VM's."""

from collections.abc import Mapping
from typing import Any

from fuchsiafork.balancing import AccountUse, LoadView
from fuchsiafork.balancing.load_codec import decode_loads, match_lifetimes
from fuchsiafork.balancing.load_messages import Report, WorkView, make_report
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.kernel import Clock

# Least time between two log lines on the view.
LOG_INTERVAL_S = 5.0


class FleetView:
    """The work of the other VMs, and a log line when it is gained or lost."""

    def __init__(
        self,
        load_view: LoadView,
        account_use: AccountUse,
        targets: TargetTable,
        clock: Clock,
        log: Any,
    ) -> None:
        """Start without a view."""
        self._load_view = load_view
        self._account_use = account_use
        self._targets = targets
        self._clock = clock
        self._log = log
        self._source = ''
        self._rates: Mapping[str, int] = {}
        self._applied = False
        self._logged_known = False
        self._logged_at = float('-inf')

    def report(self, vm: str) -> Report:
        """Return the work of this VM."""
        return make_report(
            vm,
            self._load_view.own_loads(),
            self._account_use.own_rates(),
            self._account_use.demand,
        )

    def apply(self, view: WorkView, transfer_s: float, source: str) -> None:
        """
        Replace the work of the other VMs.

        :param transfer_s: time that the call took.
        :param source: address of the VM that told, for the log.
        """
        lifetimes = (state.target.lifetime for state in self._targets.states())
        loads = match_lifetimes(decode_loads(view.work.loads), lifetimes)
        self._load_view.apply_fleet(loads, view.age_s + transfer_s)
        if view.work.rates is not None:
            self._rates = view.work.rates
        self._account_use.apply_fleet(self._rates, view.work.demand)
        self._applied = True
        self._source = source

    def check(self) -> None:
        """Forget the use of accounts with the view, and log a change."""
        known = self._load_view.fleet_known
        if self._applied and not known:
            self._rates = {}
            self._account_use.apply_fleet(self._rates, 0)
            self._applied = False
        now = self._clock.now()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        if known != self._logged_known:
            self._logged_known = known
            self._logged_at = now
            event = 'fleet_view_gained' if known else 'fleet_view_lost'
            self._log.info(
                event,
                vm_asked=self._source,
                age_s=round(self._load_view.fleet_age_s, 2),
            )


__all__ = ('FleetView',)
