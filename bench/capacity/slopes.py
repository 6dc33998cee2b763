"""Least-squares lines through measured points."""

import dataclasses
import statistics
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """One measured point.

    Attributes:
        size: Value of the quantity that was varied.
        measured: Measured value, in the unit of its series.
    """

    size: float
    measured: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """Points of one quantity over a varied one.

    Attributes:
        name: Name of the measured quantity.
        size_name: Name of the varied quantity.
        unit: Unit of the measured values.
        points: Points in the order of measurement.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[Point, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """Least-squares line.

    Attributes:
        slope: Increase of the measured value per unit of size.
        intercept: Value at size zero.
        r_squared: Share of the variance that the line explains.
    """

    slope: float
    intercept: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def point(size: float, measured: float) -> Point:
    """Return a point."""
    return Point(size=size, measured=measured)


def series(name: str, size_name: str, unit: str, points: list[Point]) -> Series:
    """Return a series of points."""
    return Series(
        name=name, size_name=size_name, unit=unit, points=tuple(points)
    )


def fit(points: Sequence[Point]) -> Line:
    """Fit a line through points.

    Args:
        points: At least two points with different sizes.

    Returns:
        The least-squares line.
    """
    sizes = [point.size for point in points]
    measured = [point.measured for point in points]
    slope, intercept = statistics.linear_regression(sizes, measured)
    if len(set(measured)) == 1:
        return Line(slope=slope, intercept=intercept, r_squared=1)
    correlation = statistics.correlation(sizes, measured)
    return Line(
        slope=slope, intercept=intercept, r_squared=correlation * correlation
    )
