"""Least-squares fits of measured points, for extrapolation."""

import dataclasses
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """Least-squares line through measured points.

    Parameters
    ----------
    slope : float
        Change of the value per unit of size.
    intercept : float
        Value at size 0.
    residual : float
        Largest deviation of a point from the line, as a share of the largest
        absolute value.
    points : int
        Number of points.
    """

    slope: float
    intercept: float
    residual: float
    points: int

    def extrapolate(self, size: float) -> float:
        """Return the value of the line at the given size."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line to points by least squares.

    Parameters
    ----------
    sizes, values : sequence of float
        Points, at least two with different sizes.

    Returns
    -------
    Fit
        Line with its residual.

    Examples
    --------
    >>> fit_line([1, 2, 3, 4], [3, 5, 7, 9])
    Fit(slope=2.0, intercept=1.0, residual=0.0, points=4)
    """
    count = len(sizes)
    mean_size = sum(sizes) / count
    mean_value = sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (value - mean_value)
            for size, value in zip(sizes, values, strict=True)
        )
        / spread
    )
    intercept = mean_value - slope * mean_size
    largest = max(abs(value) for value in values) or 1.0
    residual = max(
        abs(value - intercept - slope * size) / largest
        for size, value in zip(sizes, values, strict=True)
    )
    return Fit(slope, intercept, residual, count)
