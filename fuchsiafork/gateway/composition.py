"""Composes what the requests and systems of a process share."""

import dataclasses
import random
import secrets
from typing import Any

from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.money import Money
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.placement import Placement
from fuchsiafork.gateway.reach import Reach
from fuchsiafork.gateway.registry import TargetFeed
from fuchsiafork.gateway.repeats import RepeatBudget
from fuchsiafork.gateway.rollouts import Rollouts
from fuchsiafork.gateway.services import Services
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.gateway.watching import Watcher
from fuchsiafork.kernel import Clock, SystemClock
from fuchsiafork.platform import names
from fuchsiafork.platform.settings import VmSettings
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.prepaid import Purse
from fuchsiafork.transport.pool import ConnectionPool


@dataclasses.dataclass(frozen=True, slots=True)
class Composition:
    """
    The parts of a process.

    :ivar configured: follows the operator's items.
    :ivar registered: follows the targets' entries.
    :ivar targets: takes these entries over.
    """

    services: Services
    store: PlatformStore
    configured: Watcher
    registered: Watcher
    targets: TargetFeed


def compose(settings: VmSettings, log: Any) -> Composition:
    """Return the parts of a process with some settings."""
    clock = SystemClock()
    chance = random.Random(secrets.randbits(64))
    pool = ConnectionPool(clock)
    metrics = GatewayMetrics()
    store = PlatformStore(
        settings.store.address,
        pool,
        lambda outcome: metrics.store_calls.labels(outcome).inc(),
    )
    table = TargetTable()
    registered = Watcher(names.TARGETS_PREFIX, store, clock, chance, log)
    holder = f'{settings.vm}#{secrets.token_hex(4)}'
    purse = Purse(holder, settings.peer_address, clock)
    peers = Peers(purse, pool, clock, log)
    reach = Reach()
    services = Services(
        clock=clock,
        chance=chance,
        log=log,
        metrics=metrics,
        targets=table,
        pool=pool,
        reach=reach,
        placement=Placement(settings.domain, reach, chance),
        repeats=make_repeats(settings),
        peers=peers,
        money=Money(purse, peers, store, clock, chance, log),
        rollouts=Rollouts(holder, store, clock, log),
    )
    return Composition(
        services=services,
        store=store,
        configured=_watch_operator(store, clock, chance, log),
        registered=registered,
        targets=TargetFeed(table, registered, clock, log),
    )


def make_repeats(settings: VmSettings) -> RepeatBudget:
    """Return the budget of repeats that the settings allow."""
    bounds = settings.bounds
    return RepeatBudget(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
    )


def _watch_operator(
    store: PlatformStore,
    clock: Clock,
    chance: random.Random,
    log: Any,
) -> Watcher:
    """Return what follows the operator's items."""
    return Watcher(names.OPERATOR_PREFIX, store, clock, chance, log)
