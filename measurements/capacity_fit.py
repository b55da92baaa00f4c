"""Straight lines through measured points."""

import dataclasses
import math
from collections.abc import Callable, Iterable, Sequence

LEAST_POINTS = 3

Point = tuple[float, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """
    A least-squares line.

    :ivar r2: share of the variance that the line explains, 1 at best.
    """

    slope: float
    intercept: float
    r2: float


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """
    Points of one measurement.

    :ivar unit: unit of the slope, such as ``bytes/budget``.
    :ivar points: size and figure.
    """

    name: str
    unit: str
    points: tuple[Point, ...]

    @property
    def line(self) -> Line:
        """The line through the points."""
        return fit(self.points)

    @property
    def usable(self) -> bool:
        """Whether there are enough sizes for a line."""
        sizes = {size for size, _ in self.points}
        return len(sizes) >= LEAST_POINTS and math.isfinite(self.line.slope)

    def render(self) -> str:
        """Return the points and the line on one text line."""
        line = self.line
        points = ' '.join(
            f'{size:g}:{value:.4g}' for size, value in self.points
        )
        return (
            f'{self.name} [{self.unit}] {points} | slope {line.slope:.4g}'
            f' intercept {line.intercept:.4g} r2 {line.r2:.3f}'
        )


def fit(points: Sequence[Point]) -> Line:
    """
    Return the least-squares line through points.

    :raises ValueError: if all points have one size.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        raise ValueError('all points have one size')
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    total = sum((y - mean_y) ** 2 for _, y in points)
    rest = sum((y - intercept - slope * x) ** 2 for x, y in points)
    return Line(slope, intercept, 1 - rest / total if total else 1.0)


def measure(
    name: str,
    unit: str,
    sizes: Iterable[int],
    figure: Callable[[int], float],
) -> Series:
    """Return the series of a figure at some sizes."""
    return Series(name, unit, tuple((size, figure(size)) for size in sizes))
