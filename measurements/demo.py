"""
Demonstration: both users' deployments on the platform, on loopback.

Real gateways run with stand-ins of the platform's store and replicas. While
traffic runs, the store is away for a time, and an operator orders a move to
a version that fails.
"""

import asyncio
import json
import math
import time
from typing import Any

from fuchsiafork.observability.logs import configure_logs
from measurements.demo_report import Report, print_report
from measurements.demo_site import DEPLOYMENTS, DemoSite, Deployment
from measurements.demo_traffic import Traffic
from standins.platform_store import StoreFault

ROLLOUT_AT_S = 1.0
STORE_AWAY_FROM_S = 4.0
STORE_AWAY_UNTIL_S = 6.0
TRAFFIC_S = 9.0
LONGEST_S = 14.0
POLL_S = 0.05


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the counts of both deployments and whether all held."""
    configure_logs('critical')
    reports = [asyncio.run(show(row, seed)) for row in DEPLOYMENTS]
    summary = {report.name: report.summary() for report in reports}
    return summary, all(report.held for report in reports)


async def show(deployment: Deployment, seed: int) -> Report:
    """Return what happened in one deployment after printing it."""
    site = DemoSite(deployment)
    try:
        await site.start_all()
        report = await _observe(site, seed)
    finally:
        await site.stop()
    print_report(report)
    return report


async def _observe(site: DemoSite, seed: int) -> Report:
    """Run traffic and faults, and return what was counted."""
    traffic = Traffic(site, seed)
    began = time.monotonic()
    traffic.start()
    await _until(began + ROLLOUT_AT_S)
    await site.start_bad_version()
    watching = asyncio.create_task(_verdict_time(site, began + LONGEST_S))
    await _lose_store(site, began)
    await _until(began + TRAFFIC_S)
    verdict_at = await watching
    await traffic.stop()
    return Report(site, traffic, verdict_at)


async def _lose_store(site: DemoSite, began: float) -> None:
    """Keep the store away for a time."""
    await _until(began + STORE_AWAY_FROM_S)
    site.store.fault = StoreFault.RESET
    await _until(began + STORE_AWAY_UNTIL_S)
    site.store.fault = StoreFault.NONE


async def _verdict_time(site: DemoSite, until: float) -> float:
    """Return when the operator could read the verdict, infinite if never."""
    while time.monotonic() < until:
        value = site.store.content.get('status/rollout/plain') or b'{}'
        if json.loads(value).get('state') == 'rolled_back':
            return time.monotonic()
        await asyncio.sleep(POLL_S)
    return math.inf


async def _until(moment: float) -> None:
    """Wait until a time of the monotonic clock."""
    await asyncio.sleep(max(0.0, moment - time.monotonic()))
