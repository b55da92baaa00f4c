"""
Calls and bytes of the quarantine of prompt parts.

Gateways in one process follow the reports of targets that end. Calls and bytes
are counted by the stand-in of the store, over a calm time and over a series of
reports by other VMs.
"""

import asyncio
import itertools
from typing import Any

from fuchsiafork.gateway.notice_writer import QUARANTINE_PREFIX
from fuchsiafork.observability.logs import configure_logs
from standins.platform_site import PlatformSite

FLEETS = (8, 74)
CALM_S = 15.0
REPORTS = 5
REPORT_INTERVAL_S = 1.0
# Parts under suspicion in one report.
PARTS = 12
# Store calls in a calm time that are allowed for each VM, a second, and for the
# one VM that checks for notices that others missed.
MAX_CALM_CALLS_PER_S = 0.1
MAX_CHECKING_CALLS_PER_S = 1.0
# Calls that are allowed for each VM and report.
MAX_CALLS_PER_REPORT = 3.0


def _configuration() -> dict[str, Any]:
    """Return a configuration without routes."""
    return {'version': 1, 'routes': [], 'services': [], 'tenants': []}


class _Counts:
    """Calls and bytes of the watch of the notices."""

    def __init__(self, site: PlatformSite) -> None:
        """Count from now on."""
        self._site = site
        self._start = self._read()

    def take(self) -> tuple[int, int]:
        """Return the calls and bytes since the last call."""
        now = self._read()
        calls, size = (
            after - before
            for before, after in zip(self._start, now, strict=True)
        )
        self._start = now
        return calls, size

    def _read(self) -> tuple[int, int]:
        """Return the calls and bytes so far."""
        store = self._site.store
        return store.watches[QUARANTINE_PREFIX], store.watched_bytes[
            QUARANTINE_PREFIX
        ]


async def _measure(vms: int) -> dict[str, float]:
    """Return the calls and bytes a VM in a fleet of some VMs."""
    site = PlatformSite()
    await site.start(_configuration(), [])
    for number in range(vms):
        await site.add_gateway(f'a-{number}', 'a')
    counts = _Counts(site)
    await asyncio.sleep(CALM_S)
    calm_calls, _ = counts.take()
    keys = itertools.count()
    for number in range(REPORTS):
        notice = {
            'kind': 'ended',
            'parts': [f'{part:016x}' for part in range(PARTS)],
            'lifetime': f'i-{number:010x}@1771300000000',
        }
        site.store.put(f'{QUARANTINE_PREFIX}other/{next(keys)}', notice)
        await asyncio.sleep(REPORT_INTERVAL_S)
    calls, size = counts.take()
    await site.stop()
    return {
        f'calm_calls_per_s_{vms}': round(calm_calls / vms / CALM_S, 3),
        f'calls_per_report_{vms}': round(calls / vms / REPORTS, 2),
        f'bytes_per_report_{vms}': round(size / vms / REPORTS),
    }


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the counts of one VM, and whether they are in the bounds."""
    configure_logs('critical')
    result: dict[str, Any] = {}
    for vms in FLEETS:
        result.update(asyncio.run(_measure(vms)))
    held = all(
        result[f'calm_calls_per_s_{vms}']
        <= MAX_CALM_CALLS_PER_S + MAX_CHECKING_CALLS_PER_S / vms
        and result[f'calls_per_report_{vms}'] <= MAX_CALLS_PER_REPORT
        for vms in FLEETS
    )
    return result, held
