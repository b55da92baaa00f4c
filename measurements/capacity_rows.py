"""Rows of the capacity page, and the target size that they are for."""

import dataclasses
import math
from collections.abc import Mapping

from measurements.capacity_fit import Series

NODES = 360
DOMAINS = 6
PER_DOMAIN = NODES // DOMAINS
REQUESTS_S = 2000
TOKENS_S = 650_000
TOKEN_GAP_S = 0.067
BUDGETS = 870_000
ACCOUNTS = 41_000
TARGETS = 600
CHANGES_DAY = 1100
SHARDS = 16
# 59 of the own failure domain and 2 of each other one.
PEERS = PER_DOMAIN - 1 + 2 * (DOMAINS - 1)
REQUESTS_NODE_S = REQUESTS_S / NODES
KEY_S = 600

CONTROL_US_S = 13_000
CONTROL_BYTES = 256e6
CONTROL_BYTES_S = 18_000
# "Several hundred" is taken as 300.
STORE_WRITES_S = 300
STORE_READS_S = 2000
VALUE_BYTES = 1e6
IN_FORCE_S = 5
FIRST_TOKEN_S = 1.5
CORE_US_S = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """
    One sum at the target size.

    :ivar limit: what it may be at most, infinite for none.
    :ivar formula: how it follows from slopes, by their names.
    :ivar mechanism: what carries it, or would mend it.
    """

    role: str
    name: str
    figure: float
    limit: float
    unit: str
    formula: str
    mechanism: str

    @property
    def over(self) -> bool:
        """Whether the limit is broken."""
        return self.figure > self.limit

    @property
    def basis(self) -> str:
        """What the figure rests on."""
        return 'measured slope' if '_' in self.formula else 'derived'

    @property
    def room(self) -> float:
        """Factor by which the figure can grow."""
        return self.limit / self.figure if self.figure > 0 else math.inf

    def render(self) -> str:
        """Return a row of a Markdown table."""
        limit = '-' if math.isinf(self.limit) else short(self.limit)
        room = '-' if math.isinf(self.room) else short(self.room)
        mark = ' **over**' if self.over else ''
        return (
            f'| {self.name} | {short(self.figure)} {self.unit} | {limit} '
            f'| {room}{mark} | {self.formula} | {self.mechanism} |'
        )


class Slopes:
    """Lines of the measured series by name."""

    def __init__(self, found: Mapping[str, Series]) -> None:
        """Read lines from series."""
        self._found = found

    def __getitem__(self, name: str) -> float:
        """Return a slope."""
        return self._found[name].line.slope

    def base(self, name: str) -> float:
        """Return what does not depend on the size."""
        return self._found[name].line.intercept

    def at(self, name: str, size: float) -> float:
        """Return the line's figure at a size."""
        line = self._found[name].line
        return line.intercept + line.slope * size

    def most(self, name: str) -> float:
        """Return the greatest measured figure."""
        return max(figure for _, figure in self._found[name].points)


def short(figure: float) -> str:
    """Return a figure with three significant digits."""
    if not figure:
        return '0'
    digits = 2 - math.floor(math.log10(abs(figure)))
    rounded = round(figure, digits)
    return f'{rounded:,.{max(0, digits)}f}'
