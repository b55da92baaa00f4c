"""Messages between a VM and the one that issues the permits of a target."""

import dataclasses
from typing import Annotated, Any

import pydantic

from fuchsiafork.target_limits.permits import Decision, Permit

_MAX_LIFETIME_CHARS = 256
_Number = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """
    Asks for a permit, or reports the end of a limit.

    :ivar lifetime: start of the target.
    :ivar rate: limit, requests a second; None if it has ended.
    :ivar age_s: time since the target named it.
    :ivar priority: priority of the request, 0 is the highest.
    """

    lifetime: Annotated[
        str,
        pydantic.StringConstraints(
            min_length=1, max_length=_MAX_LIFETIME_CHARS
        ),
    ]
    rate: _Number | None
    age_s: _Number = 0.0
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _PermitModel:
    """A permit as it is sent."""

    decision: Decision
    wait_s: _Number = 0.0


_REQUEST = pydantic.TypeAdapter(PermitRequest)
_PERMIT = pydantic.TypeAdapter(_PermitModel)


def read_request(content: Any) -> PermitRequest:
    """
    Return the request of another VM.

    :raises ValueError: if it is invalid.
    """
    return _REQUEST.validate_python(content)


def read_permit(content: Any) -> Permit:
    """
    Return the answer of another VM.

    :raises ValueError: if it is invalid.
    """
    model = _PERMIT.validate_python(content)
    return Permit(model.decision, model.wait_s)


def encode_permit(permit: Permit) -> dict[str, Any]:
    """Return the content of an answer."""
    return {
        'decision': permit.decision.value,
        'wait_s': round(permit.wait_s, 3),
    }


__all__ = ('PermitRequest', 'encode_permit', 'read_permit', 'read_request')
