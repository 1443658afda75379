"""Callers crowd at one entry while its neighbours have room.

With one zone at three times the demand of the others, 128 of 136 refused
jobs were in that zone: an entry handed nothing on.
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
def test_crowded_entry_serves_as_an_equal_deal_does(seed: int) -> None:
    crowded = _crowded()
    shares = tuple(1.0 for _ in crowded.entries)
    equal = dataclasses.replace(crowded, entries=shares)
    assert _served(crowded, seed) > 0.97 * _served(equal, seed)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_handing_on_is_what_brings_it(seed: int) -> None:
    crowded = _crowded()
    shares = tuple(1.0 for _ in crowded.entries)
    equal = dataclasses.replace(crowded, entries=shares)
    without = _served(crowded, seed, "hands_on")
    assert without < 0.95 * _served(equal, seed)
