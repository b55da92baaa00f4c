"""Creates and connects the components of a gateway process."""

import dataclasses
import functools
import random
import secrets
from typing import Any

from fuchsiafork.balancing import AccountUse
from fuchsiafork.freshness import CHECK_WAIT_S
from fuchsiafork.gateway.balancing_composition import (
    make_learned_work,
    make_target_chooser,
)
from fuchsiafork.gateway.clocks import ClockCheck
from fuchsiafork.gateway.control_traffic import ControlTraffic
from fuchsiafork.gateway.feed_check import Feed, FeedCheck
from fuchsiafork.gateway.fleet_limits import FleetLimits
from fuchsiafork.gateway.fleet_retries import FleetRetries
from fuchsiafork.gateway.fleet_view import FleetView
from fuchsiafork.gateway.holder_election import SLOTS_PREFIX, HolderElection
from fuchsiafork.gateway.item_confirmation import ItemConfirmation
from fuchsiafork.gateway.item_replication import CHANGES_PATH, ItemReplication
from fuchsiafork.gateway.load_calls import LoadCalls
from fuchsiafork.gateway.load_exchange import LoadExchange, VmPlace
from fuchsiafork.gateway.memory_bounds import make_memory_bounds
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.notice_writer import QUARANTINE_PREFIX, NoticeWriter
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.prepaid_tokens import PrepaidTokens
from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.request_admission import RequestAdmission
from fuchsiafork.gateway.request_quarantine import RequestQuarantine
from fuchsiafork.gateway.retry_budget import RetryLimits
from fuchsiafork.gateway.rollouts import RolloutController
from fuchsiafork.gateway.shared_state import SharedState
from fuchsiafork.gateway.store_feeds import TargetFeed
from fuchsiafork.gateway.store_outage import StoreOutage
from fuchsiafork.gateway.target_announcements import TargetAnnouncements
from fuchsiafork.gateway.target_gate import TargetGate
from fuchsiafork.gateway.target_limits import TargetLimits
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.gateway.token_draws import TokenDraws
from fuchsiafork.gateway.token_peers import TokenPeers
from fuchsiafork.gateway.watcher import BATCH_INTERVAL_S, Watcher
from fuchsiafork.kernel import Clock, SystemClock
from fuchsiafork.platform import names
from fuchsiafork.platform.settings import VmSettings
from fuchsiafork.platform.store import PlatformStore
from fuchsiafork.prepaid import (
    FleetTime,
    HolderSlots,
    Occupant,
    TokenAllocator,
)
from fuchsiafork.transport.pool import ConnectionPool

# Each change wakes all VMs, so that changes in succession share calls.
SHARED_BATCH_INTERVAL_S = 0.5
# Time that a call waits for such changes while this VM checks that it knows
# the newest one.
SHARED_CHECK_WAIT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Watchers:
    """
    What follows the store.

    :ivar configuration: the operator's items.
    :ivar targets: the registered entries of targets.
    :ivar slots: the slots of the VMs that hold grants.
    :ivar quarantine: the notices on requests and prompt parts.
    """

    configuration: Watcher
    targets: Watcher
    slots: Watcher
    quarantine: Watcher


@dataclasses.dataclass(frozen=True, slots=True)
class Components:
    """
    The components of a gateway process.

    :ivar watchers: follow the store.
    :ivar feed_check: notices changes whose notification was lost.
    :ivar operator_items: obtains the operator's items from other VMs.
    :ivar target_feed: applies the entries of targets to the target table.
    :ivar clock_check: compares the clock with those of other VMs.
    :ivar election: claims a slot that lets this VM hold grants.
    :ivar token_draws: draws tokens from other VMs.
    :ivar notice_writer: writes what this VM reports on parts of requests.
    :ivar load_exchange: exchanges the load of targets with other VMs.
    :ivar traffic: bytes exchanged for control.
    """

    shared: SharedState
    store: PlatformStore
    watchers: Watchers
    feed_check: FeedCheck
    operator_items: ItemReplication
    target_feed: TargetFeed
    clock_check: ClockCheck
    election: HolderElection
    token_draws: TokenDraws
    notice_writer: NoticeWriter
    load_exchange: LoadExchange
    traffic: ControlTraffic


@dataclasses.dataclass(frozen=True, slots=True)
class _Dependencies:
    """Dependencies that most components share."""

    settings: VmSettings
    clock: Clock
    rng: random.Random
    pool: ConnectionPool
    metrics: GatewayMetrics
    traffic: ControlTraffic
    log: Any


@dataclasses.dataclass(frozen=True, slots=True)
class _Budgets:
    """The components that handle prepaid tokens."""

    slots: HolderSlots
    peers: Peers
    prepaid_tokens: PrepaidTokens
    token_draws: TokenDraws
    election: HolderElection
    clock_check: ClockCheck


def compose(settings: VmSettings, log: Any) -> Components:
    """Return the components of a process with the given settings."""
    clock = SystemClock()
    metrics = GatewayMetrics()
    dependencies = _Dependencies(
        settings,
        clock,
        random.Random(secrets.randbits(64)),
        ConnectionPool(clock),
        metrics,
        ControlTraffic(metrics.control_bytes, clock.now(), log),
        log,
    )
    store = _make_store(dependencies)
    watchers = _make_watchers(store, dependencies)
    instance_id = f'{settings.vm}#{secrets.token_hex(4)}'
    budgets = _make_budgets(dependencies, store, instance_id, watchers)
    writer = NoticeWriter(
        instance_id, store, clock, dependencies.rng, metrics, log
    )
    items = _make_replication(watchers.configuration, dependencies, budgets)
    confirmation = ItemConfirmation(
        names.OPERATOR_PREFIX, items, store, clock, log
    )
    shared = _make_shared_state(
        dependencies,
        store,
        budgets,
        writer,
        instance_id,
        confirmation,
        watchers,
    )
    return Components(
        shared=shared,
        store=store,
        watchers=watchers,
        feed_check=_make_feed_check(dependencies, watchers, budgets, items),
        operator_items=items,
        target_feed=TargetFeed(shared.targets, watchers.targets, clock, log),
        clock_check=budgets.clock_check,
        election=budgets.election,
        token_draws=budgets.token_draws,
        notice_writer=writer,
        load_exchange=_make_load_exchange(dependencies, budgets, shared),
        traffic=dependencies.traffic,
    )


def _make_budgets(
    dependencies: _Dependencies,
    store: PlatformStore,
    instance_id: str,
    watchers: Watchers,
) -> _Budgets:
    """Return the components of the prepaid tokens, holding no grants yet."""
    settings, clock = dependencies.settings, dependencies.clock
    rng, log = dependencies.rng, dependencies.log
    time = FleetTime(clock)
    allocator = TokenAllocator(instance_id, settings.peer_address, clock, time)
    allocator.holding = False
    peers = Peers(dependencies.pool, clock, log, dependencies.traffic.record)
    token_peers = TokenPeers(allocator, peers, clock, log)
    slots = HolderSlots(settings.vm, settings.domain)
    draws = TokenDraws(
        settings.vm, allocator, slots, token_peers, clock, rng, log
    )
    prepaid_tokens = PrepaidTokens(
        allocator, token_peers, store, clock, rng, log, draws
    )
    token_peers.set_allot(prepaid_tokens.allot)
    store.on_new_era(prepaid_tokens.start_era)
    election = HolderElection(
        slots,
        Occupant(settings.vm, settings.peer_address),
        store,
        watchers.slots,
        rng,
        log,
        settings.limits.link_mbps,
    )
    return _Budgets(
        slots,
        peers,
        prepaid_tokens,
        draws,
        election,
        ClockCheck(time, allocator, peers, prepaid_tokens, rng, log),
    )


def _make_shared_state(
    dependencies: _Dependencies,
    store: PlatformStore,
    budgets: _Budgets,
    writer: NoticeWriter,
    instance_id: str,
    confirmation: ItemConfirmation,
    watchers: Watchers,
) -> SharedState:
    """Return the state shared by requests."""
    clock, rng, log = dependencies.clock, dependencies.rng, dependencies.log
    reachability = DomainReachability()
    targets = TargetTable()
    fleet = FleetLimits(
        dependencies.settings.peer_address, budgets.slots, budgets.peers, log
    )
    quarantine = RequestQuarantine(
        writer,
        watchers.quarantine,
        targets,
        clock,
        rng,
        dependencies.metrics,
        log,
    )
    dependencies.pool.on_lost = quarantine.record_lost_connection
    limits = TargetLimits(fleet, targets, clock, dependencies.metrics, log)
    learned_work = make_learned_work(clock, dependencies.metrics)
    gate = TargetGate(targets, limits, clock)
    account_use = AccountUse(clock)
    memory = make_memory_bounds(
        dependencies.settings.limits, dependencies.metrics
    )
    return SharedState(
        clock=clock,
        rng=rng,
        log=log,
        metrics=dependencies.metrics,
        targets=targets,
        pool=dependencies.pool,
        reachability=reachability,
        target_chooser=make_target_chooser(
            dependencies.settings.domain, reachability, learned_work, rng
        ),
        retries=FleetRetries(
            make_retry_limits(dependencies.settings), fleet, clock
        ),
        peers=budgets.peers,
        prepaid_tokens=budgets.prepaid_tokens,
        rollouts=RolloutController(instance_id, store, clock, log),
        quarantine=quarantine,
        confirmation=confirmation,
        target_limits=limits,
        target_gate=gate,
        announcements=TargetAnnouncements(
            targets,
            limits,
            dependencies.pool,
            clock,
            dependencies.metrics,
            log,
        ),
        memory=memory,
        load_view=learned_work.view,
        learned_work=learned_work,
        account_use=account_use,
        admission=RequestAdmission(
            gate,
            learned_work.view,
            account_use,
            memory,
            clock,
            dependencies.metrics,
            log,
        ),
    )


def _make_load_exchange(
    dependencies: _Dependencies, budgets: _Budgets, shared: SharedState
) -> LoadExchange:
    """Return the exchange of load, with its metrics."""
    clock, log = dependencies.clock, dependencies.log
    metrics = dependencies.metrics
    exchange = LoadExchange(
        VmPlace(dependencies.settings.vm, dependencies.settings.domain),
        budgets.slots,
        budgets.peers,
        LoadCalls(
            budgets.peers,
            clock,
            lambda outcome: metrics.load_calls.labels(outcome).inc(),
            log,
        ),
        FleetView(
            shared.load_view, shared.account_use, shared.targets, clock, log
        ),
        clock,
        dependencies.rng,
    )
    metrics.fleet_view_age.set_function(lambda: shared.load_view.fleet_age_s)
    metrics.load_reports.set_function(lambda: exchange.report_count)
    return exchange


def _make_store(dependencies: _Dependencies) -> PlatformStore:
    """Return a store client that counts its calls."""
    calls = dependencies.metrics.store_calls
    store = PlatformStore(
        dependencies.settings.store.address,
        dependencies.pool,
        lambda outcome: calls.labels(outcome).inc(),
        dependencies.traffic.record,
    )
    store.on_new_era(
        lambda era: dependencies.log.warning('store_restored', era=era)
    )
    store.on_new_era(dependencies.metrics.store_era.set)
    return store


def _make_watchers(
    store: PlatformStore, dependencies: _Dependencies
) -> Watchers:
    """Return the watchers of a process."""
    make_watcher = functools.partial(
        _make_watcher,
        store=store,
        dependencies=dependencies,
        outage=StoreOutage(),
    )
    return Watchers(
        configuration=make_watcher(names.OPERATOR_PREFIX, newest_only=True),
        targets=make_watcher(names.TARGETS_PREFIX),
        slots=make_watcher(SLOTS_PREFIX, shared=True),
        quarantine=make_watcher(QUARANTINE_PREFIX, shared=True),
    )


def _make_replication(
    watcher: Watcher,
    dependencies: _Dependencies,
    budgets: _Budgets,
    path: str = CHANGES_PATH,
) -> ItemReplication:
    """
    Return what passes the changes under a prefix on between VMs.

    :param path: path of its calls.
    """
    return ItemReplication(
        dependencies.settings.vm,
        dependencies.settings.limits.link_mbps,
        watcher,
        budgets.slots,
        budgets.peers,
        dependencies.rng,
        dependencies.metrics.passed_on_changes.inc,
        dependencies.log,
        path,
    )


def _make_feed_check(
    dependencies: _Dependencies,
    watchers: Watchers,
    budgets: _Budgets,
    operator_items: ItemReplication,
) -> FeedCheck:
    """Return the check of all that a process follows."""
    counter = dependencies.metrics.late_notifications
    feeds = [Feed(watchers.configuration, operator_items.catch_up, urgent=True)]
    for watcher in (watchers.targets, watchers.slots, watchers.quarantine):
        path = f'{CHANGES_PATH}/{watcher.prefix}'
        items = _make_replication(watcher, dependencies, budgets, path)
        urgent = watcher is watchers.targets
        feeds.append(Feed(watcher, items.catch_up, urgent=urgent))
    return FeedCheck(
        dependencies.settings.peer_address,
        feeds,
        budgets.slots,
        budgets.peers,
        lambda prefix: counter.labels(prefix).inc(),
        dependencies.log,
    )


def _make_watcher(
    prefix: str,
    store: PlatformStore,
    dependencies: _Dependencies,
    outage: StoreOutage,
    *,
    newest_only: bool = False,
    shared: bool = False,
) -> Watcher:
    """
    Return a watcher of the items under a prefix.

    :param outage: shared by all watchers of the process.

    :param shared: whether these are items that VMs write for one another.
    """
    watcher = Watcher(
        prefix,
        store,
        dependencies.clock,
        dependencies.rng,
        dependencies.log,
        newest_only=newest_only,
        batch_interval_s=(
            SHARED_BATCH_INTERVAL_S if shared else BATCH_INTERVAL_S
        ),
        check_wait_s=SHARED_CHECK_WAIT_S if shared else CHECK_WAIT_S,
        outage=outage,
    )
    store.on_new_era(watcher.start_era)
    return watcher


def make_retry_limits(settings: VmSettings) -> RetryLimits:
    """Return the limits on retries in the settings."""
    bounds = settings.bounds
    return RetryLimits(
        bounds.retry_ratio,
        bounds.retry_extra,
        bounds.retry_window_s,
    )
