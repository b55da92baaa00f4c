"""What a validation has found wrong, in words."""

from typing import Any


def describe_error(details: Any) -> str:
    """
    Return the field and the reason of a fault that pydantic tells.

    The value is left out, since it may be a key.
    """
    field = '.'.join(str(part) for part in details['loc'])
    return f'{field}: {details["msg"]}'
