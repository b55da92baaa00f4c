"""State of one request, and helpers that build its errors."""

import dataclasses

from fuchsiafork import messages
from fuchsiafork.kernel import CODES, FuchsiaforkError
from fuchsiafork.kernel.errors import (
    DeadlineError,
    KeeperUnavailableError,
    OutcomeUnknownError,
    TargetFailedError,
)
from fuchsiafork.router.commands import RelayResult, Request, SharedState


@dataclasses.dataclass(slots=True)
class RequestState:
    """
    The state of one request.

    :ivar must_report_outcome: the key's owner must receive the outcome.
    :ivar send_count: number of times the last keeper request was sent.
    :ivar reservation: the current token reservation, if any.
    :ivar reservation_count: reservations requested so far.
    :ivar reservation_expires_at: time by which the first byte must be sent.
    :ivar slot: the current slot, if any.
    :ivar slot_count: slots requested so far.
    :ivar slot_expires_at: time after which the slot's grant is too old.
    :ivar group: target group of the current slot.
    :ivar sent: a byte of the request may have reached a target.
    :ivar last_sent_slot: slot of the last target to which it was sent.
    :ivar relayed: result of the last relayed answer.
    :ivar excluded_targets: targets on which this request failed.
    """

    request: Request
    shared: SharedState
    must_report_outcome: bool = False
    send_count: int = 0
    reservation: messages.Reserved | None = None
    reservation_count: int = 0
    reservation_expires_at: float = 0
    slot: messages.SlotAcquired | None = None
    slot_count: int = 0
    slot_expires_at: float = 0
    group: str = ''
    sent: bool = False
    last_sent_slot: messages.SlotAcquired | None = None
    relayed: RelayResult | None = None
    excluded_targets: tuple[str, ...] = ()

    @property
    def remaining_s(self) -> float:
        """Seconds until the request's deadline."""
        return self.request.deadline - self.shared.clock.now()

    @property
    def reached_caller(self) -> bool:
        """Whether any byte of an answer was sent to the caller."""
        return self.relayed is not None and self.relayed.reached_caller

    @property
    def settle_key(self) -> str:
        """The key under which the request is billed."""
        return self.request.key or self.request.request_id


def refusal_error(code: int, retry_after_s: float) -> FuchsiaforkError:
    """Return the exception for a refusal code received from a keeper."""
    kind = CODES.get(code, KeeperUnavailableError)
    return kind(
        f'refused with code {code}',
        retry_after=retry_after_s or None,
    )


def with_true_run_state(
    state: RequestState, error: FuchsiaforkError
) -> FuchsiaforkError:
    """
    Return an error whose run state is correct for the whole request.

    The refusal of a later attempt has ``not_run``, which is wrong if an
    earlier attempt was sent.
    """
    if not state.sent or isinstance(error, OutcomeUnknownError):
        return error
    if not state.request.idempotent:
        return OutcomeUnknownError(str(error))
    if error.run_state == 'not_run':
        return TargetFailedError(str(error), retry_after=error.retry_after)
    return error


def check_deadline(state: RequestState) -> None:
    """
    Check that the deadline has not passed.

    :raises DeadlineError: if it has passed.
    """
    if state.remaining_s <= 0:
        raise DeadlineError('the deadline has passed', retry_after=1)
