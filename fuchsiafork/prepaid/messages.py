"""Contents of the token calls between VMs."""

from typing import Annotated, Any, NamedTuple

import pydantic

# Longest name of a client account, and longest id of a draw, characters.
_MAX_NAME_CHARS = 256
_MAX_TOKENS = 10**15
_MAX_DRAWS = 100_000

_Name = Annotated[str, pydantic.Field(max_length=_MAX_NAME_CHARS)]
_Tokens = Annotated[int, pydantic.Field(ge=0, le=_MAX_TOKENS, strict=True)]
_Seconds = Annotated[float, pydantic.Field(ge=0, allow_inf_nan=False)]


class TokenRequest(NamedTuple):
    """Asks for tokens of another VM's grant."""

    account: _Name
    tokens: _Tokens


class DrawRequest(NamedTuple):
    """
    Asks a holder for the tokens of a request.

    :ivar wait_s: seconds that it may take to obtain more.
    :ivar draw_id: by which the draw can be cancelled.
    """

    account: _Name
    tokens: _Tokens
    wait_s: _Seconds
    draw_id: _Name


_REQUEST = pydantic.TypeAdapter(TokenRequest)
_DRAW = pydantic.TypeAdapter(DrawRequest)
_RETURN = pydantic.TypeAdapter(dict[_Name, _Tokens])
_CANCEL = pydantic.TypeAdapter(
    Annotated[list[_Name], pydantic.Field(max_length=_MAX_DRAWS)]
)


def read_token_request(content: Any) -> TokenRequest:
    """
    Return a request for tokens.

    :raises ValueError: if it is invalid.
    """
    return _REQUEST.validate_python(content)


def read_draw_request(content: Any) -> DrawRequest:
    """
    Return a draw.

    :raises ValueError: if it is invalid.
    """
    return _DRAW.validate_python(content)


def read_returned_tokens(content: Any) -> dict[str, int]:
    """
    Return the tokens that another VM gives back, by client account.

    :raises ValueError: if they are invalid.
    """
    return _RETURN.validate_python(content)


def read_cancelled_draws(content: Any) -> list[str]:
    """
    Return the ids of cancelled draws.

    :raises ValueError: if they are invalid.
    """
    return _CANCEL.validate_python(content)


__all__ = (
    'DrawRequest',
    'TokenRequest',
    'read_cancelled_draws',
    'read_draw_request',
    'read_returned_tokens',
    'read_token_request',
)
