"""Least-squares fits of measured points. Pure."""

import numpy
from msgspec import Struct


class LinearFit(Struct, frozen=True):
    """A fit of ``y = fixed + per_unit · x``.

    :param points: the measured ``(x, y)``.
    :param residual: root mean square of the distances from the line, in units of y.
    """

    fixed: float
    per_unit: float
    points: list[tuple[float, float]]
    residual: float

    def at(self, x: float) -> float:
        """Return the fitted value at ``x``."""
        return self.fixed + self.per_unit * x

    def margin(self, x: float, limit: float) -> float:
        """Return how often the value at ``x`` fits into ``limit``; below 1 it does not."""
        value = self.at(x)
        return limit / value if value > 0 else float("inf")


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Fit a line.

    :raises ValueError: for fewer than two different x.
    """
    if len({x for x, _ in points}) < 2:
        raise ValueError("a slope needs two different x")
    xs, ys = zip(*points, strict=True)
    per_unit, fixed = numpy.polyfit(xs, ys, 1)
    distances = numpy.asarray(ys) - (fixed + per_unit * numpy.asarray(xs))
    residual = float(numpy.sqrt(numpy.mean(distances**2)))
    return LinearFit(float(fixed), float(per_unit), points, residual)
