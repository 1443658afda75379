"""A straight line through measured points, with its error."""

from collections import abc
import dataclasses
import json
import statistics


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A measured dependence: ``value = base + per_unit * size``."""

    #: What was measured, such as ``entry_cpu_s_by_tasks``.
    name: str
    #: Unit of the value and of the size.
    unit: str
    per: str
    points: tuple[tuple[float, float], ...]
    base: float
    per_unit: float
    #: Largest distance of a point from the line, over the point's value.
    error: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.base + self.per_unit * size


def fit(
    name: str,
    unit: str,
    per: str,
    points: abc.Sequence[tuple[float, float]],
) -> Slope:
    """Return the line of least squares through the points."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    error = max(
        abs(line.intercept + line.slope * size - value) / abs(value)
        for size, value in points
        if value
    )
    return Slope(
        name,
        unit,
        per,
        tuple(points),
        line.intercept,
        line.slope,
        round(error, 3),
    )


def read_slope(line: str) -> Slope:
    """Return the slope that a line of JSON holds."""
    fields = json.loads(line)
    points = tuple((size, value) for size, value in fields.pop("points"))
    return Slope(points=points, **fields)
