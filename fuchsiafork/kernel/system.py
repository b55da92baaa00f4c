"""Base class of the systems that a keeper runs."""

import abc
from typing import Any, ClassVar

from fuchsiafork.kernel.context import Context


class System(abc.ABC):
    """
    In-memory state, and the decisions on it at each message and tick.

    A system does no I/O. It reads the clock and queues messages and store
    operations in the outbox of its context.

    :cvar accepts: message types that the keeper delivers to this system.
    """

    accepts: ClassVar[tuple[type, ...]] = ()

    def __init__(self, context: Context) -> None:
        """Use the clock, outbox and other dependencies of a context."""
        self._context = context

    @abc.abstractmethod
    def handle(self, message: Any, sender: str) -> None:
        """Process one message from a node, or the result of a store call."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Perform the time-driven work that is due."""
