"""A straight line through recent points, by least squares with decaying weights."""

from typing import NamedTuple

MIN_WEIGHT = 20.0

__all__ = ["LinearFit", "Line"]


class Line(NamedTuple):
    """y = base + slope * x."""

    base: float
    slope: float


class LinearFit:
    """Least squares over points whose weights decay with each new point.

    Args:
        points: About how many of the latest points the fit follows.
    """

    def __init__(self, points: int) -> None:
        self._decay = 1 - 1 / points
        self._weight = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0

    def add(self, x: float, y: float) -> None:
        """Adds a point."""
        self._weight = self._decay * self._weight + 1
        self._x = self._decay * self._x + x
        self._y = self._decay * self._y + y
        self._xx = self._decay * self._xx + x * x
        self._xy = self._decay * self._xy + x * y

    def line(self, prior_slope: float, prior_weight: float) -> Line | None:
        """Returns the line; none if there are too few points.

        Args:
            prior_slope: The slope that is assumed without points.
            prior_weight: How much of the sum of squares of x's deviations that counts for; more
                of it makes the slope follow noise less.
        """
        if self._weight < MIN_WEIGHT:
            return None
        mean_x, mean_y = self._x / self._weight, self._y / self._weight
        squares = max(0.0, self._xx - self._weight * mean_x**2)
        products = self._xy - self._weight * mean_x * mean_y
        slope = (products + prior_weight * prior_slope) / (squares + prior_weight)
        return Line(mean_y - slope * mean_x, slope)
