"""Output of rows as a table or as JSON, and the exit codes."""

import enum
import json
from collections.abc import Sequence
from typing import Any


class Exit(enum.IntEnum):
    """Exit codes of the program, listed in docs/configuration.md."""

    OK = 0
    USAGE = 1
    INVALID = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_IN_FORCE = 5
    NOT_FOUND = 6


Row = dict[str, Any]


def show_rows(rows: Sequence[Row], *, as_json: bool) -> None:
    """Print rows with the same keys as a table, or as JSON."""
    if as_json:
        print(json.dumps(list(rows), default=str))
        return
    if rows:
        print(render_table(rows))


def render_table(rows: Sequence[Row]) -> str:
    """Return rows as an aligned table."""
    names = list(rows[0])
    lines = [names, *([_cell(row[name]) for name in names] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _cell(content: Any) -> str:
    """Return the text of a table cell; ``-`` for no value."""
    if content is None or content == '':  # ruff: ignore[compare-to-empty-string]
        return '-'
    if isinstance(content, tuple | list):
        return ','.join(str(part) for part in content) or '-'
    return str(content)
