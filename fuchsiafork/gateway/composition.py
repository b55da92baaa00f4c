"""Composes what the requests and systems of a process share."""

import dataclasses
import random
import secrets
from typing import Any

from fuchsiafork.gateway.clocks import ClockCheck
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.placement import Placement
from fuchsiafork.gateway.prepaid_tokens import PrepaidTokens
from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.registry import TargetFeed
from fuchsiafork.gateway.retry_budget import RetryBudget
from fuchsiafork.gateway.rollouts import Rollouts
from fuchsiafork.gateway.services import Services
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.gateway.watching import Watcher
from fuchsiafork.kernel import Clock, SystemClock
from fuchsiafork.platform import names
from fuchsiafork.platform.settings import VmSettings
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.prepaid import FleetTime, TokenAllocator
from fuchsiafork.transport.pool import ConnectionPool


@dataclasses.dataclass(frozen=True, slots=True)
class Composition:
    """
    The parts of a process.

    :ivar configured: follows the operator's items.
    :ivar registered: follows the targets' entries.
    :ivar targets: takes these entries over.
    :ivar clocks: finds the fleet's time.
    """

    services: Services
    store: PlatformStore
    configured: Watcher
    registered: Watcher
    targets: TargetFeed
    clocks: ClockCheck


@dataclasses.dataclass(frozen=True, slots=True)
class _Basis:
    """What most parts of a process need."""

    settings: VmSettings
    clock: Clock
    chance: random.Random
    pool: ConnectionPool
    metrics: GatewayMetrics
    log: Any


def compose(settings: VmSettings, log: Any) -> Composition:
    """Return the parts of a process with some settings."""
    clock = SystemClock()
    basis = _Basis(
        settings,
        clock,
        random.Random(secrets.randbits(64)),
        ConnectionPool(clock),
        GatewayMetrics(),
        log,
    )
    store = _make_store(basis)
    registered = _watch(names.TARGETS_PREFIX, store, basis)
    services, clocks = _make_services(basis, store)
    return Composition(
        services=services,
        store=store,
        configured=_watch(
            names.OPERATOR_PREFIX,
            store,
            basis,
            newest_only=True,
        ),
        registered=registered,
        targets=TargetFeed(services.targets, registered, clock, log),
        clocks=clocks,
    )


def _make_services(
    basis: _Basis,
    store: PlatformStore,
) -> tuple[Services, ClockCheck]:
    """Return what requests share, and what finds the fleet's time."""
    clock, chance, log = basis.clock, basis.chance, basis.log
    holder = f'{basis.settings.vm}#{secrets.token_hex(4)}'
    time = FleetTime(clock)
    allocator = TokenAllocator(holder, basis.settings.peer_address, clock, time)
    peers = Peers(allocator, basis.pool, clock, log)
    prepaid_tokens = PrepaidTokens(allocator, peers, store, clock, chance, log)
    reachability = DomainReachability()
    services = Services(
        clock=clock,
        chance=chance,
        log=log,
        metrics=basis.metrics,
        targets=TargetTable(),
        pool=basis.pool,
        reachability=reachability,
        placement=Placement(basis.settings.domain, reachability, chance),
        retry_budget=make_retry_budget(basis.settings),
        peers=peers,
        prepaid_tokens=prepaid_tokens,
        rollouts=Rollouts(holder, store, clock, log),
    )
    return services, ClockCheck(
        time, allocator, peers, prepaid_tokens, chance, log
    )


def _make_store(basis: _Basis) -> PlatformStore:
    """Return the client of the store, which counts its calls."""
    calls = basis.metrics.store_calls
    return PlatformStore(
        basis.settings.store.address,
        basis.pool,
        lambda outcome: calls.labels(outcome).inc(),
    )


def _watch(
    prefix: str,
    store: PlatformStore,
    basis: _Basis,
    *,
    newest_only: bool = False,
) -> Watcher:
    """Return what follows the items under a prefix."""
    return Watcher(
        prefix,
        store,
        basis.clock,
        basis.chance,
        basis.log,
        newest_only=newest_only,
    )


def make_retry_budget(settings: VmSettings) -> RetryBudget:
    """Return the budget of repeats that the settings allow."""
    bounds = settings.bounds
    return RetryBudget(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
    )
