"""Changes of single sections, as edits of the stored document."""

import functools
import re
from collections.abc import Mapping

from fuchsiafork.configuration.sections import Sections
from fuchsiafork.configuration.store import Edit
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    ConfigurationError,
)


def set_keys(title: str, wanted: Mapping[str, str]) -> Edit:
    """Return the edit that sets keys of an existing section."""
    return functools.partial(_set_keys, title, wanted)


def add_section(title: str, wanted: Mapping[str, str]) -> Edit:
    """Return the edit that adds a section."""
    return functools.partial(_add_section, title, wanted)


def section_text(title: str, wanted: Mapping[str, str]) -> str:
    """Return a section with these keys."""
    lines = [f'{key} = {setting}' for key, setting in wanted.items()]
    return '\n'.join((f'[{title}]', *lines, ''))


def _set_keys(
    title: str,
    wanted: Mapping[str, str],
    present: Sections,
) -> Sections:
    """Return the sections with keys of one set."""
    if title not in present:
        raise ConfigurationError(f'no section [{title}]')
    text = present[title]
    for key, setting in wanted.items():
        line = f'{key} = {setting}'
        pattern = re.compile(rf'^{re.escape(key)}\s*[=:].*$', re.MULTILINE)
        if pattern.search(text):
            text = pattern.sub(line, text, count=1)
        else:
            text = f'{text}{line}\n'
    return {**present, title: text}


def _add_section(
    title: str,
    wanted: Mapping[str, str],
    present: Sections,
) -> Sections:
    """Return the sections with one more."""
    if title in present:
        raise ConfigurationConflictError(f'section [{title}] is there already')
    return {**present, title: section_text(title, wanted)}
