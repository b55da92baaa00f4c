"""Registry of the messages that processes send to each other."""

import dataclasses
from typing import Any, TypeVar

import pydantic

_Kind = TypeVar('_Kind')

_ADAPTERS: dict[str, pydantic.TypeAdapter[Any]] = {}


def message(kind: type[_Kind]) -> type[_Kind]:
    """Register a data class as a message under its class name."""
    _ADAPTERS[kind.__name__] = pydantic.TypeAdapter(kind)
    return kind


def adapter_of(name: str) -> pydantic.TypeAdapter[Any] | None:
    """Return the validator of a message kind, or None for an unknown one."""
    return _ADAPTERS.get(name)


def to_plain(value: Any) -> Any:
    """Return nested data classes as dicts and lists for the codec."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_plain(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, list | tuple):
        return [to_plain(part) for part in value]
    if isinstance(value, dict):
        return {name: to_plain(part) for name, part in value.items()}
    return value
