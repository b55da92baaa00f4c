"""Errors with numbered codes; docs/errors.md holds the same table."""

import enum
from typing import ClassVar


class RunState(enum.StrEnum):
    """Whether a refused request was run by a target."""

    NOT_RUN = 'not_run'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    RUN = 'run'


class FuchsiaforkError(Exception):
    """
    Base of all errors of the system.

    :cvar code: number in docs/errors.md.
    :cvar status: HTTP status of the refusal.
    :cvar run_state: whether the request was run.
    :cvar retry_safe: whether the caller may send the request again.
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
        """Keep the message and the seconds after which a retry may help."""
        super().__init__(message)
        self.retry_after = retry_after


class InvariantViolationError(FuchsiaforkError):
    """A condition that must always hold did not."""

    code = 1001


class MessageFormatError(FuchsiaforkError):
    """A message from another process could not be read."""

    code = 1002
    status = 400


class ProtocolVersionError(FuchsiaforkError):
    """A process speaks another major version of the link protocol."""

    code = 1003
    status = 400


class SettingsError(FuchsiaforkError):
    """A settings file is invalid."""

    code = 1101
    status = 400


class ConfigurationError(FuchsiaforkError):
    """A configuration document is invalid; nothing was changed."""

    code = 1201
    status = 400


class ConfigurationConflictError(FuchsiaforkError):
    """Sections changed since the operator last saw them."""

    code = 1202
    status = 409


class StoreUnavailableError(FuchsiaforkError):
    """The key-value service gave no answer; a write may have taken effect."""

    code = 1301
    status = 503
    retry_safe = True


class StoreFormatError(FuchsiaforkError):
    """A value in the key-value service could not be read."""

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
    """The request's body or headers are over the bound."""

    code = 2003
    status = 413


class RouteNotFoundError(FuchsiaforkError):
    """No route matches the request for this client account."""

    code = 2004
    status = 404


class KeyRequiredError(FuchsiaforkError):
    """A non-idempotent call came without an Idempotency-Key."""

    code = 2005
    status = 400


class KeyMismatchError(FuchsiaforkError):
    """The Idempotency-Key was used before with another request."""

    code = 2006
    status = 409


class KeyInProgressError(FuchsiaforkError):
    """A request with this Idempotency-Key is still running."""

    code = 2007
    status = 409
    run_state = RunState.OUTCOME_UNKNOWN
    retry_safe = True


class AlreadyRunError(FuchsiaforkError):
    """The call with this key was sent before and may not be repeated."""

    code = 2008
    status = 409
    run_state = RunState.OUTCOME_UNKNOWN


class KeyClearingError(FuchsiaforkError):
    """The claim of an earlier request that was not run is being removed."""

    code = 2009
    status = 503
    retry_safe = True


class HeadersTooLargeError(FuchsiaforkError):
    """The request's headers are over the bound."""

    code = 2010
    status = 431


class RequestTimeoutError(FuchsiaforkError):
    """The request did not come whole in time."""

    code = 2011
    status = 408
    retry_safe = True


class NotConfiguredError(FuchsiaforkError):
    """The process knows no configuration that is recent enough."""

    code = 2012
    status = 503
    retry_safe = True


class BudgetExhaustedError(FuchsiaforkError):
    """The budget cannot cover the request's worst case."""

    code = 2101
    status = 402
    retry_safe = True


class BudgetUnreachableError(FuchsiaforkError):
    """Money may be left, but no holder of it can be reached now."""

    code = 2102
    status = 503
    retry_safe = True


class ReservationLapsedError(FuchsiaforkError):
    """The reservation passed its deadline before the request was sent."""

    code = 2103
    status = 503
    retry_safe = True


class QueueFullError(FuchsiaforkError):
    """The queue of the target group is at its bound."""

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
    """The router reaches no keeper of its failure domain."""

    code = 2204
    status = 503
    retry_safe = True


class ClaimUnavailableError(FuchsiaforkError):
    """The claim of a non-idempotent call cannot be stored now."""

    code = 2205
    status = 503
    retry_safe = True


class StoppingError(FuchsiaforkError):
    """The process is shutting down and takes no new request."""

    code = 2206
    status = 503
    retry_safe = True


class TargetFailedError(FuchsiaforkError):
    """The target failed after it was given the request."""

    code = 2301
    status = 502
    run_state = RunState.RUN
    retry_safe = True


class OutcomeUnknownError(FuchsiaforkError):
    """A non-idempotent call was sent and its outcome is not known."""

    code = 2302
    status = 502
    run_state = RunState.OUTCOME_UNKNOWN


class StreamTruncatedError(FuchsiaforkError):
    """The target's answer ended before it was whole."""

    code = 2303
    status = 502
    run_state = RunState.RUN
    retry_safe = True


class SlowCallerError(FuchsiaforkError):
    """The caller read nothing for longer than the write deadline."""

    code = 2304
    status = 408
    run_state = RunState.RUN


class TargetTimeoutError(FuchsiaforkError):
    """The target gave no whole answer in time."""

    code = 2305
    status = 504
    run_state = RunState.OUTCOME_UNKNOWN


def _walk(
    base: type[FuchsiaforkError],
) -> list[type[FuchsiaforkError]]:
    """Return the class and all that derive from it."""
    classes = [base]
    for subclass in base.__subclasses__():
        classes.extend(_walk(subclass))
    return classes


CODES = {kind.code: kind for kind in _walk(FuchsiaforkError)}
