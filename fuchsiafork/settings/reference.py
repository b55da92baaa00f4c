"""Writes docs/settings.md from the settings models."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pydantic

from fuchsiafork.settings.models import KeeperSettings, RouterSettings

PAGE = Path(__file__).parents[2] / 'docs' / 'settings.md'

_HEAD = """# Settings

Each program reads one INI file. Lists are separated by commas or spaces. \
An unknown key or section is an error (code 1101), and the program does not \
start. This page is made by `python -m fuchsiafork.settings.reference`.
"""


def render() -> str:
    """Return the page."""
    return '\n'.join((_HEAD, *_page_lines()))


def _page_lines() -> Iterator[str]:
    """Yield the lines of all programs."""
    for model in (KeeperSettings, RouterSettings):
        title = (model.__doc__ or '').removeprefix('Settings of ')
        yield f'## {title.removesuffix(".")}\n'
        for name, field in model.model_fields.items():
            yield from _section_lines(name, field.annotation)


def _section_lines(name: str, model: Any) -> Iterator[str]:
    """Yield the lines of one section."""
    yield f'### [{name}]\n'
    yield f'{model.__doc__}\n'
    yield '| key | default | meaning |'
    yield '|---|---|---|'
    for key, field in model.model_fields.items():
        yield f'| {key} | {_default(field)} | {field.description} |'
    yield ''


def _default(field: pydantic.fields.FieldInfo) -> str:
    """Return a key's default as the file would give it."""
    if field.is_required():
        return 'required'
    return f'`{field.default}`' if field.default else 'none'


if __name__ == '__main__':
    PAGE.write_text(render(), encoding='utf-8')
