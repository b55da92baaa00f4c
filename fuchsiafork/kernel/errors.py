"""Errors with numeric codes; docs/errors.md has the same table."""

import enum
from typing import ClassVar


class RunState(enum.StrEnum):
    """Whether a target executed a refused request."""

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    RUN = 'run'


class FuchsiaforkError(Exception):
    """
    Base class of all errors of the system.

    :cvar code: number in docs/errors.md.
    :cvar status: HTTP status of the error response.
    :cvar run_state: whether a target executed the request.
    :cvar retry_safe: whether the caller may retry the request.
    """

    code: ClassVar[int] = 1000
    status: ClassVar[int] = 500
    run_state: ClassVar[RunState] = RunState.NOT_RUN
    retry_safe: ClassVar[bool] = False

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
    ) -> None:
        """Set the message and the seconds to wait before a retry."""
        super().__init__(message)
        self.retry_after = retry_after


class InvariantViolationError(FuchsiaforkError):
    """An invariant was violated."""

    code = 1001


class MessageFormatError(FuchsiaforkError):
    """A message from another process could not be decoded."""

    code = 1002
    status = 400


class ProtocolVersionError(FuchsiaforkError):
    """A peer uses another major version of the link protocol."""

    code = 1003
    status = 400


class UnexpectedError(FuchsiaforkError):
    """The handling of a request or call failed in a way not foreseen."""

    code = 1004


class SettingsError(FuchsiaforkError):
    """A settings file is invalid."""

    code = 1101
    status = 400


class ConfigurationError(FuchsiaforkError):
    """A configuration document is invalid; nothing was changed."""

    code = 1201
    status = 400


class ConfigurationConflictError(FuchsiaforkError):
    """Sections changed since the operator last read them."""

    code = 1202
    status = 409


class StoreUnavailableError(FuchsiaforkError):
    """The key-value service did not answer; a write may have been applied."""

    code = 1301
    status = 503
    retry_safe = True


class StoreFormatError(FuchsiaforkError):
    """A value in the key-value service could not be decoded."""

    code = 1302


class UnauthorizedError(FuchsiaforkError):
    """The bearer token belongs to no client account."""

    code = 2001
    status = 401


class BadRequestError(FuchsiaforkError):
    """The request is malformed."""

    code = 2002
    status = 400


class RequestTooLargeError(FuchsiaforkError):
    """The request exceeds a size limit, or the memory of the targets."""

    code = 2003
    status = 413


class RouteNotFoundError(FuchsiaforkError):
    """No route matches the request for this client account."""

    code = 2004
    status = 404


class KeyRequiredError(FuchsiaforkError):
    """A non-idempotent call has no Idempotency-Key."""

    code = 2005
    status = 400


class KeyMismatchError(FuchsiaforkError):
    """The Idempotency-Key was used before for a different request."""

    code = 2006
    status = 409


class KeyInProgressError(FuchsiaforkError):
    """A request with this Idempotency-Key is still running."""

    code = 2007
    status = 409
    run_state = RunState.OUTCOME_UNKNOWN
    retry_safe = True


class AlreadyRunError(FuchsiaforkError):
    """The call with this key was sent before and must not be retried."""

    code = 2008
    status = 409
    run_state = RunState.OUTCOME_UNKNOWN


class KeyClearingError(FuchsiaforkError):
    """The key claim of an earlier, not executed request is being removed."""

    code = 2009
    status = 503
    retry_safe = True


class HeadersTooLargeError(FuchsiaforkError):
    """The request's headers exceed the size limit."""

    code = 2010
    status = 431


class RequestTimeoutError(FuchsiaforkError):
    """The request was not received completely in time."""

    code = 2011
    status = 408
    retry_safe = True


class NotConfiguredError(FuchsiaforkError):
    """The process has no sufficiently recent configuration."""

    code = 2012
    status = 503
    retry_safe = True


class BudgetExhaustedError(FuchsiaforkError):
    """The budget cannot cover the request's maximum token use."""

    code = 2101
    status = 402
    retry_safe = True


class BudgetUnreachableError(FuchsiaforkError):
    """Tokens may remain, but no holder of the budget is reachable."""

    code = 2102
    status = 503
    retry_safe = True


class ReservationLapsedError(FuchsiaforkError):
    """The reservation expired before the request was sent."""

    code = 2103
    status = 503
    retry_safe = True


class QueueFullError(FuchsiaforkError):
    """The queue of the target group is full."""

    code = 2201
    status = 503
    retry_safe = True


class DeadlineError(FuchsiaforkError):
    """The request cannot be served before its deadline."""

    code = 2202
    status = 503
    retry_safe = True


class NoTargetError(FuchsiaforkError):
    """No target that serves the route can be reached."""

    code = 2203
    status = 503
    retry_safe = True


class KeeperUnavailableError(FuchsiaforkError):
    """The router cannot reach any keeper of its failure domain."""

    code = 2204
    status = 503
    retry_safe = True


class ClaimUnavailableError(FuchsiaforkError):
    """The key claim of a non-idempotent call cannot be stored now."""

    code = 2205
    status = 503
    retry_safe = True


class StoppingError(FuchsiaforkError):
    """The process is shutting down and accepts no new request."""

    code = 2206
    status = 503
    retry_safe = True


class QuarantinedError(FuchsiaforkError):
    """
    Targets ended under the request, or a part of it; it is not sent to more.

    :ivar final: whether no further request will show that it is harmless.
    """

    code = 2207
    status = 503
    retry_safe = True

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        final: bool = False,
    ) -> None:
        """Set the message and when the caller may return, if at all."""
        super().__init__(message, retry_after=retry_after)
        self.final = final


class TargetsLimitedError(FuchsiaforkError):
    """The targets that are left accept no more requests for now."""

    code = 2208
    status = 503
    retry_safe = True


class ConfigurationUnconfirmedError(FuchsiaforkError):
    """The route or key is unknown here, and may be new."""

    code = 2209
    status = 503
    retry_safe = True


class TargetsPausedError(FuchsiaforkError):
    """The targets that are left have requested a pause of this VM."""

    code = 2210
    status = 503
    retry_safe = True


class MemoryExhaustedError(FuchsiaforkError):
    """Other callers take up the memory, or the connections, of the process."""

    code = 2211
    status = 503
    retry_safe = True


class PoolOverloadedError(FuchsiaforkError):
    """The engines' places are taken, and the wait for one is too long."""

    code = 2212
    status = 503
    retry_safe = True


class TargetFailedError(FuchsiaforkError):
    """The target failed after it received the request."""

    code = 2301
    status = 502
    run_state = RunState.RUN
    retry_safe = True


class OutcomeUnknownError(FuchsiaforkError):
    """A non-idempotent call was sent and its outcome is unknown."""

    code = 2302
    status = 502
    run_state = RunState.OUTCOME_UNKNOWN


class StreamTruncatedError(FuchsiaforkError):
    """The target's response ended before it was complete."""

    code = 2303
    status = 502
    run_state = RunState.RUN
    retry_safe = True


class SlowCallerError(FuchsiaforkError):
    """The caller read no data for longer than the write deadline."""

    code = 2304
    status = 408
    run_state = RunState.RUN


class TargetTimeoutError(FuchsiaforkError):
    """The target did not send a complete response in time."""

    code = 2305
    status = 504
    run_state = RunState.OUTCOME_UNKNOWN


def _class_tree(
    base: type[FuchsiaforkError],
) -> list[type[FuchsiaforkError]]:
    """Return a class and all its direct and indirect subclasses."""
    classes = [base]
    for subclass in base.__subclasses__():
        classes.extend(_class_tree(subclass))
    return classes


CODES = {kind.code: kind for kind in _class_tree(FuchsiaforkError)}
