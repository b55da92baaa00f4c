"""Edits of the stored document that change a single section."""

import functools
import re
from collections.abc import Mapping

from fuchsiafork.configuration.sections import Sections
from fuchsiafork.configuration.store import Edit
from fuchsiafork.kernel.errors import (
    ConfigurationConflictError,
    ConfigurationError,
)


def set_keys(title: str, settings: Mapping[str, str]) -> Edit:
    """Return an edit that sets keys of an existing section."""
    return functools.partial(_set_keys, title, settings)


def add_section(title: str, settings: Mapping[str, str]) -> Edit:
    """Return an edit that adds a section."""
    return functools.partial(_add_section, title, settings)


def section_text(title: str, settings: Mapping[str, str]) -> str:
    """Return the text of a section with the given settings."""
    lines = [f'{key} = {setting}' for key, setting in settings.items()]
    return '\n'.join((f'[{title}]', *lines, ''))


def _set_keys(
    title: str,
    settings: Mapping[str, str],
    stored: Sections,
) -> Sections:
    """Return the sections with some keys of one section set."""
    if title not in stored:
        raise ConfigurationError(f'no section [{title}]')
    text = stored[title]
    for key, setting in settings.items():
        line = f'{key} = {setting}'
        pattern = re.compile(rf'^{re.escape(key)}\s*[=:].*$', re.MULTILINE)
        if pattern.search(text):
            text = pattern.sub(line, text, count=1)
        else:
            text = f'{text}{line}\n'
    return {**stored, title: text}


def _add_section(
    title: str,
    settings: Mapping[str, str],
    stored: Sections,
) -> Sections:
    """Return the sections with a new one added."""
    if title in stored:
        raise ConfigurationConflictError(f'section [{title}] is there already')
    return {**stored, title: section_text(title, settings)}
