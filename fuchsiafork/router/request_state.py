"""What one request holds while it runs, and the errors it ends with."""

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

    :ivar bound: the key's home must hear how the request ended.
    :ivar asked: how often the last question was sent.
    :ivar reservation: the reservation that is held, if any.
    :ivar valid_until: time by which the first byte must go out.
    :ivar slot: the slot that is held, if any.
    :ivar slot_until: time after which the slot's grant is too old.
    :ivar sent: a byte of the request may have reached a target.
    :ivar last_used: slot of the last target that the request was sent to.
    :ivar relayed: what was seen of the last stream.
    :ivar excluded: targets that this request failed on.
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
        """Seconds to the request's deadline."""
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
    """Return the error of a refusal that came as a message."""
    kind = CODES.get(code, KeeperUnavailableError)
    return kind(
        f'refused with code {code}',
        retry_after=retry_after_s or None,
    )


def with_true_run_state(
    state: RequestState, error: FuchsiaforkError
) -> FuchsiaforkError:
    """
    Return an error whose run state holds for the whole request.

    A refusal of a later attempt says ``not_run``, which is untrue if an
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
    Return if the deadline has not passed.

    :raises DeadlineError: if it has.
    """
    if state.remaining_s <= 0:
        raise DeadlineError('the deadline has passed', retry_after=1)
