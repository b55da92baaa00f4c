"""Contents of the token calls between VMs."""

from typing import Annotated, Any, NamedTuple

import pydantic

# Longest name of a client account, and longest id of a draw, characters.
_MAX_NAME_CHARS = 256
_MAX_TOKENS = 10**15
_MAX_DRAWS = 100_000
# Most requests of one draw.
_MAX_NEEDS = 10_000

_Name = Annotated[str, pydantic.Field(max_length=_MAX_NAME_CHARS)]
_Tokens = Annotated[int, pydantic.Field(ge=0, le=_MAX_TOKENS, strict=True)]
_Needs = Annotated[
    list[_Tokens], pydantic.Field(min_length=1, max_length=_MAX_NEEDS)
]
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


class DrawsRequest(NamedTuple):
    """
    Asks a holder for the tokens of several requests.

    :ivar needs: tokens that each request needs.
    :ivar wait_s: seconds that it may take to obtain more.
    :ivar draw_id: by which the whole draw can be cancelled.
    """

    account: _Name
    needs: _Needs
    wait_s: _Seconds
    draw_id: _Name


_REQUEST = pydantic.TypeAdapter(TokenRequest)
_DRAW = pydantic.TypeAdapter(DrawRequest)
_DRAWS = pydantic.TypeAdapter(DrawsRequest)
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


def read_draws_request(content: Any) -> DrawsRequest:
    """
    Return a draw for several requests.

    :raises ValueError: if it is invalid.
    """
    return _DRAWS.validate_python(content)


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
    'DrawsRequest',
    'TokenRequest',
    'read_cancelled_draws',
    'read_draw_request',
    'read_draws_request',
    'read_returned_tokens',
    'read_token_request',
)
