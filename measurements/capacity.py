"""Slopes of state, time, messages and calls, and the sums they give."""

import time
from collections.abc import Iterable
from typing import Any

from measurements.capacity_fit import Series
from measurements.capacity_idle import idle_series
from measurements.capacity_links import link_series
from measurements.capacity_programs import program_series
from measurements.capacity_relay import relay_series
from measurements.capacity_state import state_series
from measurements.capacity_sums import sums
from measurements.capacity_time import time_series

LIMIT_S = 60.0


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """
    Return the fits and the sums, and whether every slope was measured.

    A sum over its limit is a finding, not a failure of the measurement;
    docs/CAPACITY.md lists them.
    """
    started = time.monotonic()
    found: dict[str, Series] = {}
    _note(found, state_series(seed))
    _note(found, time_series(seed))
    _note(found, idle_series())
    _note(found, relay_series())
    _note(found, link_series(seed))
    programs, broken_answers = program_series()
    _note(found, programs)
    rows = sums(found)
    for row in rows:
        print(row.render())
    seconds = time.monotonic() - started
    result = {
        'series': {name: _facts(series) for name, series in found.items()},
        'over_limit': [row.name for row in rows if row.over],
        'broken_answers': broken_answers,
        'seconds': round(seconds, 1),
    }
    usable = all(series.usable for series in found.values())
    return result, usable and not broken_answers and seconds < LIMIT_S


def _note(found: dict[str, Series], series: Iterable[Series]) -> None:
    """Keep series by name and print each one."""
    for one in series:
        found[one.name] = one
        print(one.render(), flush=True)


def _facts(series: Series) -> dict[str, Any]:
    """Return a series for the JSON line."""
    line = series.line
    return {
        'unit': series.unit,
        'points': [[size, _short(figure)] for size, figure in series.points],
        'slope': _short(line.slope),
        'intercept': _short(line.intercept),
        'r2': round(line.r2, 4),
    }


def _short(figure: float) -> float:
    """Return a figure with five significant digits."""
    return float(f'{figure:.5g}')
