"""Formats validation errors of pydantic."""

from typing import Any


def describe_error(details: Any) -> str:
    """
    Return the field and the reason of an error reported by pydantic.

    The invalid value is omitted, since it may be a secret key.
    """
    field = '.'.join(str(part) for part in details['loc'])
    return f'{field}: {details["msg"]}'
