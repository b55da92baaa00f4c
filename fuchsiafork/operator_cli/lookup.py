"""Finds sections by name, or says that there is none."""

from collections.abc import Mapping
from typing import TypeVar

from fuchsiafork.configuration.parsing import read_ini
from fuchsiafork.kernel.errors import FuchsiaforkError

_Section = TypeVar('_Section')


class NotFoundError(FuchsiaforkError):
    """The document has no section of this name."""


def section_of(
    table: Mapping[str, _Section],
    kind: str,
    name: str,
) -> _Section:
    """
    Return a section by its name.

    :raises NotFoundError: if there is none.
    """
    if name not in table:
        raise NotFoundError(f'no section [{kind}:{name}]')
    return table[name]


def owner_of(sections: Mapping[str, str], title: str) -> str:
    """
    Return the owner of a section.

    :raises NotFoundError: if there is none.
    """
    text = sections.get(title)
    if text is None:
        raise NotFoundError(f'no section [{title}]')
    return read_ini(text, title).get(title, 'owner')
