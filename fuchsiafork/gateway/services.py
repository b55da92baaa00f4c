"""What the exchanges of a process share."""

import dataclasses
import random
from typing import Any

from fuchsiafork.gateway.catalog import Catalog
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.money import Money
from fuchsiafork.gateway.peers import Peers
from fuchsiafork.gateway.placement import Placement
from fuchsiafork.gateway.reach import Reach
from fuchsiafork.gateway.repeats import RepeatBudget
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
    reach: Reach
    placement: Placement
    repeats: RepeatBudget
    peers: Peers
    money: Money
    rollouts: Rollouts
    catalog: Catalog | None = None
    targets_at: float = 0.0
