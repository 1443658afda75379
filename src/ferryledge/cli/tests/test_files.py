"""Configuration files: the examples hold, and errors name their place."""

import pathlib

import pytest

import ferryledge
from ferryledge.cli import _file
from ferryledge.cli import _options
from ferryledge import configlog
from ferryledge import policy

EXAMPLES = pathlib.Path(ferryledge.__file__).parents[2] / "docs" / "examples"


def rules(name):
    entities = _file.load(EXAMPLES / f"{name}.toml")
    return {
        one.name: policy.CompiledPolicy(one)
        for one in entities
        if one.kind == "policy"
    }


def test_spokewells_policies():
    found = rules("spokewell")
    counter, quotes, holds = (
        found[name] for name in ("counter", "quotes", "holds")
    )
    assert counter.evaluate(policy.Facts(tasks=2)).urgency == 4
    late = policy.Facts(deadline_s=0.1, expected_s=0.5)
    assert counter.evaluate(late).detail == "too late to be of use"
    assert quotes.evaluate(policy.Facts(deadline_s=0.5)).urgency == 3
    assert quotes.evaluate(policy.Facts(tasks=300, load=0.95)).refused
    assert not holds.allows(policy.Facts(zone="a", home="b", load=0.2))
    assert holds.allows(policy.Facts(zone="a", home="b", load=0.9))


def test_gletscherpasss_policies():
    found = rules("gletscherpass")
    lookups, boarding, bags = (
        found[name] for name in ("lookups", "boarding", "bags")
    )
    assert lookups.evaluate(policy.Facts("app", load=0.9)).urgency == 0.5
    assert lookups.evaluate(policy.Facts("app", waiting=3000)).refused
    assert not lookups.evaluate(policy.Facts("gates", waiting=3000)).refused
    assert boarding.evaluate(policy.Facts("gates")).urgency == 8
    assert boarding.evaluate(policy.Facts("app", deadline_s=1.0)).urgency == 4
    assert bags.allows(policy.Facts(zone="a", home="a"))


def test_a_file_may_use_the_earlier_names(tmp_path):
    path = tmp_path / "config.toml"
    path.write_text(
        "[[place]]\nname='west'\nhalls=['cork-1']\n[[team]]\nname='shop'"
    )
    assert _file.load(path) == (
        configlog.Place("west", ("cork-1",)),
        configlog.Workspace("shop"),
    )


def test_one_workspace_under_both_names_stands_twice(tmp_path):
    path = tmp_path / "config.toml"
    path.write_text("[[team]]\nname='a'\n[[workspace]]\nname='a'")
    with pytest.raises(_options.InputError, match="stands twice"):
        _file.load(path)


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ("x =", "Invalid value"),
        ("service = 3", "write [[service]]"),
        ("[[services]]\nname='a'", "'services' is unknown"),
        ("[[service]]\ntimeout_s=1", "name"),
        ("[[service]]\nname='a'\ntimeout_s=0", "timeout_s"),
        ("[[workspace]]\nname='a'\nquota=3", "no setting 'quota'"),
        ("[[workspace]]\nname='a'\n[[workspace]]\nname='a'", "stands twice"),
        ("[[service]]\nname='a'\npolicy='p'", "does not exist"),
        ("[[policy]]\nname='p'\nurgency='x'", "unknown name 'x'"),
        ("[[policy]]\nname='p'\nurgency='1/tasks*0/load'", "urgency"),
    ],
)
def test_a_wrong_file_says_where_and_why(tmp_path, text, told):
    path = tmp_path / "config.toml"
    path.write_text(text)
    with pytest.raises(_options.InputError) as caught:
        _file.load(path)
    assert told in caught.value.message
