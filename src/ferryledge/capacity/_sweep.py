"""What one day costs at several sizes, and how that grows.

The figures are those of the busiest process of a role, measured by the users
on whole days at 30, 100 and 300 machines.
"""

from collections import abc
import math

import msgspec

from ferryledge.capacity import _fit

#: Figures that fall with the size are not taken to fall on.
_LEAST_POWER = 0.0


class SweptLine(msgspec.Struct, frozen=True):
    """One figure at several sizes."""

    name: str
    unit: str
    #: Machines of the system.
    sizes: tuple[int, ...]
    #: Of the busiest process, or the longest time.
    busiest: tuple[float, ...]
    #: What the users allow; none if they don't say.
    budget: float | None
    #: What it is made of, and what would mend it; empty if it is met.
    mends: str

    @property
    def power(self) -> float:
        """The power of the number of machines with which it grows."""
        points = [
            (math.log(size), math.log(value))
            for size, value in zip(self.sizes, self.busiest, strict=True)
        ]
        return _fit.fit(self.name, self.unit, "machine", points).per_unit

    def at(self, size: int) -> float:
        """Return the figure at another size, by its power."""
        power = max(_LEAST_POWER, self.power)
        return self.busiest[-1] * math.pow(size / self.sizes[-1], power)


def read_swept(text: str) -> SweptLine:
    """Return the line that JSON text holds."""
    return msgspec.json.decode(text, type=SweptLine)


def render(lines: abc.Sequence[SweptLine], size: int) -> str:
    """Return the part of the page on the sweep.

    :param lines: its figures
    :param size: machines to work them out for
    """
    sizes = lines[0].sizes
    head = [f"at {one}" for one in sizes]
    cells = [
        "busiest process",
        *head,
        "power",
        f"at {size:,}",
        "budget",
        "met",
    ]
    rows = [cells, ["---"] * len(cells)]
    rows += [_cells(line, size) for line in lines]
    table = "".join(f"| {' | '.join(row)} |\n" for row in rows)
    missed = "".join(
        f"- {line.name}: {line.mends}.\n"
        for line in lines
        if _is_missed(line, size)
    )
    return (
        "\n## Swept\n\n"
        "A day with trouble of the users' at several sizes, whole and with "
        "all work: the budgets are for control alone, so a line that is not "
        "met here may still be met by them. The last size is carried on by "
        "the power, or as it is where the power is below 0.\n\n"
        f"{table}\nNot met, what they are made of and what would mend them:"
        f"\n\n{missed}"
    )


def _is_missed(line: SweptLine, size: int) -> bool:
    return line.budget is not None and line.at(size) > line.budget


def _cells(line: SweptLine, size: int) -> list[str]:
    name = f"{line.name}, {line.unit}" if line.unit else line.name
    budget = "-" if line.budget is None else f"{line.budget:g}"
    met = "-" if line.budget is None else "yes"
    if _is_missed(line, size):
        met = "**no**"
    values = [f"{value:g}" for value in line.busiest]
    reckoned = f"{line.at(size):.1f}"
    return [name, *values, f"{line.power:.2f}", reckoned, budget, met]
