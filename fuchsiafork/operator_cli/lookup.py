"""Lookup of sections and their owners by name."""

from collections.abc import Mapping
from typing import TypeVar

from fuchsiafork.configuration.parsing import read_ini
from fuchsiafork.kernel.errors import FuchsiaforkError

_Section = TypeVar('_Section')


class NotFoundError(FuchsiaforkError):
    """The document has no section with the given name."""


def section_of(
    sections: Mapping[str, _Section],
    kind: str,
    name: str,
) -> _Section:
    """
    Return a section by name.

    :raises NotFoundError: if there is none.
    """
    if name not in sections:
        raise NotFoundError(f'no section [{kind}:{name}]')
    return sections[name]


def owner_of(sections: Mapping[str, str], title: str) -> str:
    """
    Return the owner of a section.

    :raises NotFoundError: if there is none.
    """
    text = sections.get(title)
    if text is None:
        raise NotFoundError(f'no section [{title}]')
    return read_ini(text, title).get(title, 'owner')
