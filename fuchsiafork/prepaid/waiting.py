"""Requests that wait until a process can reserve tokens for them."""

import dataclasses
from collections.abc import Callable

from fuchsiafork.kernel.errors import FuchsiaforkError
from fuchsiafork.prepaid.changes import Reservation


@dataclasses.dataclass(eq=False, slots=True)
class WaitingRequest:
    """
    A request that waits for tokens.

    :ivar deadline: time until which it waits, seconds since boot.
    :ivar on_end: called once it is served or refused.
    :ivar reservation: its tokens, None until it is served.
    :ivar error: why it is refused, None if it isn't.
    :ivar stopped: whether it waits no longer without either.
    """

    account: str
    tokens: int
    deadline: float
    on_end: Callable[[], object]
    reservation: Reservation | None = None
    error: FuchsiaforkError | None = None
    stopped: bool = False

    @property
    def ended(self) -> bool:
        """Whether it was served or refused, or stopped waiting."""
        served = self.reservation is not None
        return served or self.error is not None or self.stopped

    def serve(self, reservation: Reservation) -> None:
        """End the wait with a reservation."""
        self.reservation = reservation
        self.on_end()

    def refuse(self, error: FuchsiaforkError) -> None:
        """End the wait with an error, unless it has ended."""
        if not self.ended:
            self.error = error
            self.on_end()


__all__ = ('WaitingRequest',)
