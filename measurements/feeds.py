"""
Calls by which VMs notice changes whose notification was lost.

Gateways in one process follow a store in which nothing changes. Watches are
counted by the stand-in of the store, calls between VMs where they are made.
"""

import asyncio
import collections
from typing import Any, ClassVar
from unittest import mock

from fuchsiafork.gateway import composition
from fuchsiafork.gateway.feed_check import FEEDS_PATH
from fuchsiafork.gateway.peers import DEFAULT_LIMITS, CallLimits, Peers
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.transport.json_call import JsonAnswer
from standins.platform_site import PlatformSite

FLEETS = (8, 74)
DOMAINS = 'abc'
SETTLE_S = 8.0
CALM_S = 15.0
# Watches of the store that are allowed, a second: for each VM, and for the one
# VM that checks.
MAX_WATCHES_PER_VM = 0.4
MAX_WATCHES_OF_FLEET = 6.0
# Calls between VMs that are allowed for each VM, a second.
MAX_CALLS_PER_VM = 1.1


class _CountedPeers(Peers):
    """Counts the calls to each VM."""

    counts: ClassVar[collections.Counter[str]] = collections.Counter()

    async def call(
        self,
        address: str,
        path: str,
        body: Any,
        limits: CallLimits = DEFAULT_LIMITS,
    ) -> JsonAnswer:
        """Call another VM; count the call if it compares feeds."""
        self.counts[address] += path == FEEDS_PATH
        return await super().call(address, path, body, limits)


async def _measure(vms: int) -> dict[str, float]:
    """Return the calls a second in a fleet of some VMs."""
    site = PlatformSite()
    configuration = {'version': 1, 'routes': [], 'services': [], 'tenants': []}
    await site.start(configuration, [])
    counts = _CountedPeers.counts
    with mock.patch.object(composition, 'Peers', _CountedPeers):
        for number in range(vms):
            domain = DOMAINS[number % len(DOMAINS)]
            await site.add_gateway(f'{domain}-{number}', domain)
    await asyncio.sleep(SETTLE_S)
    counts.clear()
    watches_before = sum(site.store.watches.values())
    await asyncio.sleep(CALM_S)
    watches = sum(site.store.watches.values()) - watches_before
    calls = sum(counts.values())
    busiest = max(counts.values(), default=0)
    await site.stop()
    return {
        f'watches_per_s_{vms}': round(watches / CALM_S, 1),
        f'calls_between_vms_per_s_{vms}': round(calls / CALM_S, 1),
        f'calls_at_busiest_vm_per_s_{vms}': round(busiest / CALM_S, 1),
    }


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the calls a second, and whether they are in the bounds."""
    configure_logs('critical')
    result: dict[str, Any] = {}
    for vms in FLEETS:
        result.update(asyncio.run(_measure(vms)))
    held = all(
        result[f'watches_per_s_{vms}']
        <= MAX_WATCHES_OF_FLEET + MAX_WATCHES_PER_VM * vms
        and result[f'calls_between_vms_per_s_{vms}'] <= MAX_CALLS_PER_VM * vms
        for vms in FLEETS
    )
    return result, held
