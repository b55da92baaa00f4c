"""Validates a new revision by parsing only its changed parts."""

from collections.abc import Iterable, Mapping
from typing import Any

from fuchsiafork.configuration.document import Document
from fuchsiafork.configuration.parsing import check_rules, parse_sections
from fuchsiafork.configuration.rules import SECTION_KINDS
from fuchsiafork.kernel.errors import ConfigurationError


class PartParser:
    """Caches the parsed parts of the last valid document."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._parsed: dict[str, Document] = {}

    def parse(self, parts: Mapping[str, str], file: str) -> Document:
        """
        Parse and validate a document given as parts, by digest and in order.

        :raises ConfigurationError: listing all errors of the first invalid
            part, or of the whole document; the cache is then unchanged.
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
    """Combine the parts to one document."""
    tables: dict[str, dict[str, Any]] = {name: {} for name in SECTION_KINDS}
    for part in parts:
        for name, table in tables.items():
            added = getattr(part, name)
            duplicates = table.keys() & added.keys()
            if duplicates:
                raise ConfigurationError(
                    f'{file}: {sorted(duplicates)!r} twice'
                )
            table.update(added)
    # Each section was validated when its part was parsed.
    return Document.model_construct(None, **tables)
