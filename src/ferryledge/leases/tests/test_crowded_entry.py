"""Clients crowd at one entry while other entries have spare capacity.

Guards against refusals at the crowded entry that a handover avoids.
"""

import dataclasses
import pathlib

import pytest

import ferryledge
from ferryledge import loads

FILES = pathlib.Path(ferryledge.__file__).parents[2] / "bench" / "loads"
IN_TIME = loads.JobEnd.IN_TIME


def _crowded() -> loads.Load:
    return loads.read(FILES / "crowded-entry.toml")


def _served(load: loads.Load, seed: int, without: str = "") -> float:
    rules = loads.without(without) if without else None
    played = loads.play(load, seed, rules)
    assert not played.violations
    return played.share(IN_TIME)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crowded_entry_serves_as_many_as_a_balanced_load(seed: int) -> None:
    crowded = _crowded()
    shares = tuple(1.0 for _ in crowded.entries)
    equal = dataclasses.replace(crowded, entries=shares)
    assert _served(crowded, seed) > 0.97 * _served(equal, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_result_depends_on_handovers(seed: int) -> None:
    crowded = _crowded()
    shares = tuple(1.0 for _ in crowded.entries)
    equal = dataclasses.replace(crowded, entries=shares)
    without = _served(crowded, seed, "hands_on")
    assert without < 0.95 * _served(equal, seed)
