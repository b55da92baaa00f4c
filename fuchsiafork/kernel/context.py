"""Dependencies passed to each system: identity, clock, randomness, outbox."""

import dataclasses
import random

from fuchsiafork.kernel.clock import Clock
from fuchsiafork.kernel.events import EventRing
from fuchsiafork.kernel.invariants import Invariants
from fuchsiafork.kernel.outbox import Outbox


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """
    Identity of one start of a process.

    :ivar node: id of the process, ``<vm>/<process>``.
    :ivar domain: failure domain of the VM.
    :ivar vm: name of the VM that the process runs on.
    :ivar incarnation: a new string for each start of the process.
    """

    node: str
    domain: str
    vm: str
    incarnation: str

    @property
    def holder(self) -> str:
        """Id under which this start of the process holds prepaid tokens."""
        return f'{self.node}#{self.incarnation}'


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Dependencies of a system."""

    identity: Identity
    clock: Clock
    random: random.Random
    outbox: Outbox
    events: EventRing
    invariants: Invariants
