"""What the exchanges of a process share."""

import dataclasses
import random
from typing import Any

from fuchsiafork.gateway.catalog import Catalog
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.placement import Placement
from fuchsiafork.gateway.prepaid_tokens import PrepaidTokens
from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.retry_budget import RetryBudget
from fuchsiafork.gateway.rollouts import Rollouts
from fuchsiafork.gateway.targets import TargetTable
from fuchsiafork.kernel import Clock
from fuchsiafork.transport.pool import ConnectionPool


@dataclasses.dataclass(slots=True)
class Services:
    """
    State of a process that its requests read and change.

    :ivar catalog: configuration in force, None before the first one.
    :ivar targets_at: time of the last contact about the targets, seconds.
    """

    clock: Clock
    chance: random.Random
    log: Any
    metrics: GatewayMetrics
    targets: TargetTable
    pool: ConnectionPool
    reachability: DomainReachability
    placement: Placement
    retry_budget: RetryBudget
    peers: Peers
    prepaid_tokens: PrepaidTokens
    rollouts: Rollouts
    catalog: Catalog | None = None
    targets_at: float = 0.0
