"""
Writes the tables of docs/CAPACITY.md from the committed points.

``python -m measurements.capacity_page [FILE]`` takes the JSON line of a run
from a file into the committed points first.
"""

import json
import math
import pathlib
import sys
from collections.abc import Mapping

from measurements.capacity_fit import Series
from measurements.capacity_rows import Row, short
from measurements.capacity_sums import sums

PAGE = pathlib.Path(__file__).parents[1] / 'docs' / 'CAPACITY.md'
POINTS = pathlib.Path(__file__).with_name('capacity_points.json')
_ROLES = ('keeper', 'ledger', 'configuration', 'links', 'router', 'operator')
_HEAD = (
    '| figure | at the target size | limit | room | formula '
    '| mechanism, or what would mend it |\n|---|---|---|---|---|---|'
)


def committed(path: pathlib.Path = POINTS) -> dict[str, Series]:
    """Return the committed series by name."""
    raw = json.loads(path.read_text(encoding='utf-8'))
    return {
        name: Series(
            name,
            row['unit'],
            tuple((size, figure) for size, figure in row['points']),
        )
        for name, row in raw.items()
    }


def points_table(found: Mapping[str, Series]) -> str:
    """Return the table of measured points and lines."""
    rows = ['| series | unit of slope | points | slope | intercept | r2 |']
    rows.append('|---|---|---|---|---|---|')
    for series in found.values():
        line = series.line
        points = ', '.join(
            f'{size:g}: {short(figure)}' for size, figure in series.points
        )
        rows.append(
            f'| {series.name} | {series.unit} | {points} '
            f'| {short(line.slope)} | {short(line.intercept)} '
            f'| {line.r2:.3f} |',
        )
    return '\n'.join(rows)


def sums_table(rows: list[Row], role: str) -> str:
    """Return the table of one role's sums."""
    chosen = [row.render() for row in rows if row.role == role]
    return '\n'.join((_HEAD, *chosen))


def over_table(rows: list[Row]) -> str:
    """Return the table of the sums that break a limit, worst first."""
    lines = ['| figure | times the limit | mechanism that would mend it |']
    lines.append('|---|---|---|')
    broken = sorted((row for row in rows if row.over), key=_room)
    lines.extend(
        f'| {row.role}: {row.name} | {short(1 / row.room)} | {row.mechanism} |'
        for row in broken
    )
    return '\n'.join(lines)


def limits_table(rows: list[Row]) -> str:
    """Return the table of all figures that have a limit."""
    lines = ['| figure | at the target size | limit | room | basis |']
    lines.append('|---|---|---|---|---|')
    lines.extend(
        f'| {row.role}: {row.name} | {short(row.figure)} {row.unit} '
        f'| {short(row.limit)} | {short(row.room)} | {row.basis} |'
        for row in rows
        if math.isfinite(row.limit)
    )
    return '\n'.join(lines)


def blocks(found: Mapping[str, Series]) -> dict[str, str]:
    """Return the generated parts of the page by name."""
    rows = sums(found)
    parts = {role: sums_table(rows, role) for role in _ROLES}
    return {
        **parts,
        'over': over_table(rows),
        'limits': limits_table(rows),
        'points': points_table(found),
    }


def fill(page: str, parts: Mapping[str, str]) -> str:
    """
    Return the page with its generated parts replaced.

    :raises ValueError: if the page lacks a part's marks.
    """
    for name, text in parts.items():
        begin, end = f'<!-- {name} -->', f'<!-- end {name} -->'
        before, _, rest = page.partition(begin)
        _, mark, after = rest.partition(end)
        if not mark:
            raise ValueError(f'no part {name!r}')
        page = f'{before}{begin}\n\n{text}\n\n{end}{after}'
    return page


def _room(row: Row) -> float:
    """Return the factor by which a figure could grow."""
    return row.room


def main() -> None:
    """Take a run's points, if given, and write the page."""
    for name in sys.argv[1:]:
        lines = pathlib.Path(name).read_text(encoding='utf-8').splitlines()
        series = json.loads(lines[-1])['series']
        kept = {
            one: {'unit': row['unit'], 'points': row['points']}
            for one, row in series.items()
        }
        text = json.dumps(kept, indent=1)
        POINTS.write_text(f'{text}\n', encoding='utf-8')
    page = fill(PAGE.read_text(encoding='utf-8'), blocks(committed()))
    PAGE.write_text(page, encoding='utf-8')


if __name__ == '__main__':
    main()
