"""Registry of message types, by class name."""

import dataclasses
from typing import Any, TypeVar

import pydantic

_Kind = TypeVar('_Kind')

_ADAPTERS: dict[str, pydantic.TypeAdapter[Any]] = {}


def message(kind: type[_Kind]) -> type[_Kind]:
    """Register a data class as a message type under its class name."""
    _ADAPTERS[kind.__name__] = pydantic.TypeAdapter(kind)
    return kind


def find_adapter(name: str) -> pydantic.TypeAdapter[Any] | None:
    """Return the validator of a message type, or None if unknown."""
    return _ADAPTERS.get(name)


def to_builtins(value: Any) -> Any:
    """Convert nested data classes to dicts and lists for the codec."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: to_builtins(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    if isinstance(value, list | tuple):
        return [to_builtins(element) for element in value]
    if isinstance(value, dict):
        return {name: to_builtins(entry) for name, entry in value.items()}
    return value
