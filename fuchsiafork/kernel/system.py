"""Base of the systems that a keeper runs."""

import abc
from typing import Any, ClassVar

from fuchsiafork.kernel.context import Context


class System(abc.ABC):
    """
    Rows in tables, and the decisions that are taken over them each tick.

    A system does no I/O. It reads the clock and leaves its effects in the
    outbox of its context.

    :cvar accepts: types of the messages that the keeper routes here.
    """

    accepts: ClassVar[tuple[type, ...]] = ()

    def __init__(self, context: Context) -> None:
        """Keep the context."""
        self._context = context

    @abc.abstractmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message from a node, or a store answer."""

    @abc.abstractmethod
    def tick(self) -> None:
        """Do what is due by the clock."""
