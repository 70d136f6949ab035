"""Least-squares fits of a line to measured points. No I/O."""

import numpy
from msgspec import Struct


class LinearFit(Struct, frozen=True):
    """A line ``y = fixed + per_unit · x`` fitted to measured points.

    :param fixed: fitted value at ``x = 0``.
    :param per_unit: slope of the line.
    :param points: the measured ``(x, y)``.
    :param residual: root mean square of the differences from the line, in units of y.
    """

    fixed: float
    per_unit: float
    points: list[tuple[float, float]]
    residual: float

    def at(self, x: float) -> float:
        """Return the fitted value at ``x``."""
        return self.fixed + self.per_unit * x

    def margin(self, x: float, limit: float) -> float:
        """Return the margin at ``x``: ``limit`` divided by the fitted value.

        A margin below 1 means that the limit is exceeded; it is infinite for a value of 0 or less.
        """
        value = self.at(x)
        return limit / value if value > 0 else float("inf")


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Fit a line to points by least squares.

    :param points: the measured ``(x, y)``.
    :raises ValueError: if the points have fewer than two different x.
    """
    if len({x for x, _ in points}) < 2:
        raise ValueError("cannot fit a line: the points need at least two different x")
    xs, ys = zip(*points, strict=True)
    per_unit, fixed = numpy.polyfit(xs, ys, 1)
    differences = numpy.asarray(ys) - (fixed + per_unit * numpy.asarray(xs))
    residual = float(numpy.sqrt(numpy.mean(differences**2)))
    return LinearFit(float(fixed), float(per_unit), points, residual)
