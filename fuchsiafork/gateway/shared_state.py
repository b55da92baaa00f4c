"""State that all requests of a gateway process share."""

import asyncio
import dataclasses
import random
from typing import Any

from fuchsiafork.balancing import AccountUse, LoadView
from fuchsiafork.balancing.request_work import LearnedWork
from fuchsiafork.gateway.configuration import Configuration
from fuchsiafork.gateway.fleet_retries import FleetRetries
from fuchsiafork.gateway.item_confirmation import ItemConfirmation
from fuchsiafork.gateway.memory_bounds import MemoryBounds
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.prepaid_tokens import PrepaidTokens
from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.request_admission import RequestAdmission
from fuchsiafork.gateway.request_quarantine import RequestQuarantine
from fuchsiafork.gateway.rollouts import RolloutController
from fuchsiafork.gateway.target_announcements import TargetAnnouncements
from fuchsiafork.gateway.target_chooser import TargetChooser
from fuchsiafork.gateway.target_gate import TargetGate
from fuchsiafork.gateway.target_limits import TargetLimits
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.transport.pool import ConnectionPool


@dataclasses.dataclass(slots=True)
class SharedState:
    """
    State of a process that its requests read and modify.

    :ivar memory: bounds on the bodies that are kept.
    :ivar load_view: outstanding work of targets.
    :ivar account_use: work that client accounts ask for.
    :ivar learned_work: what estimates of work rest on.
    :ivar admission: requests that wait for places at engines.
    :ivar configuration: configuration in force, None before the first one.
    :ivar configuration_confirmed_at: time at which no newer configuration was
        known to exist, seconds.
    :ivar targets_confirmed_at: the same for the entries of targets.
    :ivar time_limits: limits of the requests that are sent to targets.
    """

    clock: Clock
    rng: random.Random
    log: Any
    metrics: GatewayMetrics
    targets: TargetTable
    pool: ConnectionPool
    reachability: DomainReachability
    target_chooser: TargetChooser
    retries: FleetRetries
    peers: Peers
    prepaid_tokens: PrepaidTokens
    rollouts: RolloutController
    quarantine: RequestQuarantine
    confirmation: ItemConfirmation
    target_limits: TargetLimits
    target_gate: TargetGate
    announcements: TargetAnnouncements
    memory: MemoryBounds
    load_view: LoadView
    account_use: AccountUse
    learned_work: LearnedWork
    admission: RequestAdmission
    configuration: Configuration | None = None
    configuration_confirmed_at: float = 0.0
    targets_confirmed_at: float = 0.0
    time_limits: set[asyncio.Timeout] = dataclasses.field(default_factory=set)

    def end_requests(self) -> None:
        """Let the requests that are sent to targets time out now."""
        now = asyncio.get_running_loop().time()
        for limit in self.time_limits:
            if not limit.expired():
                limit.reschedule(now)
