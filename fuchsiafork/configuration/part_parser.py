"""Validates a new revision at the cost of its changed parts."""

from collections.abc import Iterable, Mapping
from typing import Any

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.parsing import check_rules, parse_sections
from fuchsiafork.configuration.rules import KIND_OF_TABLE
from fuchsiafork.kernel.errors import ConfigurationError


class PartParser:
    """Keeps the validated parts of the last document."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parsed: dict[str, Document] = {}

    def parse(self, parts: Mapping[str, str], file: str) -> Document:
        """
        Return the document of some parts, given by digest and in order.

        :raises ConfigurationError: with all faults of the first faulty part,
            or of the whole; the kept parts then stay as they were.
        """
        parsed = {
            name: self._parsed.get(name) or parse_sections(text, file)
            for name, text in parts.items()
        }
        document = _merge(parsed.values(), file)
        check_rules(document, file)
        self._parsed = parsed
        return document


def _merge(parts: Iterable[Document], file: str) -> Document:
    """Return the document of its parts."""
    tables: dict[str, dict[str, Any]] = {name: {} for name in KIND_OF_TABLE}
    for part in parts:
        for name, table in tables.items():
            more = getattr(part, name)
            twice = table.keys() & more.keys()
            if twice:
                raise ConfigurationError(f'{file}: {sorted(twice)!r} twice')
            table.update(more)
    # Every section was validated with its part.
    return Document.model_construct(None, **tables)
