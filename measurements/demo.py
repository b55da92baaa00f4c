"""
Demonstration: both sample deployments on loopback, in one process.

Real keepers and routers run in threads with stand-ins of the platform and of
the targets. While traffic runs, one failure domain is cut off and healed,
and a rollout moves traffic to a version that fails.
"""

import math
import time
from typing import Any

from measurements.demo_report import Report, print_report
from measurements.demo_site import Site, load_site
from measurements.demo_traffic import Traffic

TRAFFIC_S = 8.0
LONGEST_S = 12.0
POLL_S = 0.2
CUT_FROM_S = 3.0
CUT_UNTIL_S = 5.0
# Time for the last settlements to reach the ledger.
SETTLE_S = 1.5
SAMPLES = ('qalyub', 'kilele')


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the counts of both deployments and whether all held."""
    reports = {name: show(name, seed) for name in SAMPLES}
    summary = {name: report.summary() for name, report in reports.items()}
    held = all(report.held for report in reports.values())
    return summary, held


def show(name: str, seed: int) -> Report:
    """Return what happened in one deployment after printing it."""
    site = load_site(name)
    try:
        site.start()
        report = _observe(name, site, seed)
    finally:
        site.stop()
    print_report(report)
    return report


def _observe(name: str, site: Site, seed: int) -> Report:
    """Run traffic and faults and return what the stand-ins counted."""
    traffic = Traffic(site, seed)
    traffic.start()
    began = time.monotonic()
    _sleep_until(began + CUT_FROM_S)
    site.cut(site.domains[-1])
    _sleep_until(began + CUT_UNTIL_S)
    site.heal()
    _sleep_until(began + TRAFFIC_S)
    # Few requests go to an unproven version, so its verdict can take longer.
    while time.monotonic() < began + LONGEST_S:
        if site.verdict_wall() < math.inf:
            break
        time.sleep(POLL_S)
    traffic.stop()
    time.sleep(SETTLE_S)
    return Report(name, site, traffic)


def _sleep_until(moment: float) -> None:
    """Wait until a moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))
