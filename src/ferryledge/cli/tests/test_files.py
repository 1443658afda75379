"""Tests of configuration files: the examples and error messages."""

import pathlib

import pytest

import ferryledge
from ferryledge.cli import _file
from ferryledge.cli import _options
from ferryledge import configlog
from ferryledge import policy

EXAMPLES = pathlib.Path(ferryledge.__file__).parents[2] / "docs" / "examples"


def load_policies(name):
    entities = _file.load(EXAMPLES / f"{name}.toml")
    return {
        entity.name: policy.CompiledPolicy(entity)
        for entity in entities
        if entity.kind == "policy"
    }


def test_policies_of_spokewell():
    policies = load_policies("spokewell")
    counter, quotes, holds = (
        policies[name] for name in ("counter", "quotes", "holds")
    )
    assert counter.evaluate(policy.Facts(tasks=2)).urgency == 4
    late = policy.Facts(deadline_s=0.1, expected_s=0.5)
    assert counter.evaluate(late).detail == "too late to be of use"
    assert quotes.evaluate(policy.Facts(deadline_s=0.5)).urgency == 3
    assert quotes.evaluate(policy.Facts(tasks=300, load=0.95)).refused
    assert not holds.allows(policy.Facts(zone="a", home="b", load=0.2))
    assert holds.allows(policy.Facts(zone="a", home="b", load=0.9))


def test_policies_of_gletscherpass():
    policies = load_policies("gletscherpass")
    lookups, boarding, bags = (
        policies[name] for name in ("lookups", "boarding", "bags")
    )
    assert lookups.evaluate(policy.Facts("app", load=0.9)).urgency == 0.5
    assert lookups.evaluate(policy.Facts("app", waiting=3000)).refused
    assert not lookups.evaluate(policy.Facts("gates", waiting=3000)).refused
    assert boarding.evaluate(policy.Facts("gates")).urgency == 8
    assert boarding.evaluate(policy.Facts("app", deadline_s=1.0)).urgency == 4
    assert bags.allows(policy.Facts(zone="a", home="a"))


def test_earlier_names_are_accepted(tmp_path):
    path = tmp_path / "config.toml"
    path.write_text(
        "[[place]]\nname='west'\nhalls=['cork-1']\n[[team]]\nname='shop'"
    )
    assert _file.load(path) == (
        configlog.Place("west", ("cork-1",)),
        configlog.Workspace("shop"),
    )


def test_workspace_under_both_names_is_defined_twice(tmp_path):
    path = tmp_path / "config.toml"
    path.write_text("[[team]]\nname='a'\n[[workspace]]\nname='a'")
    with pytest.raises(_options.InputError, match="is defined twice"):
        _file.load(path)


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("x =", "Invalid value"),
        ("service = 3", "write [[service]]"),
        ("[[services]]\nname='a'", "invalid section 'services'"),
        ("[[service]]\ntimeout_s=1", "name"),
        ("[[service]]\nname='a'\ntimeout_s=0", "timeout_s"),
        ("[[workspace]]\nname='a'\nquota=3", "no setting 'quota'"),
        ("[[workspace]]\nname='a'\n[[workspace]]\nname='a'", "defined twice"),
        ("[[service]]\nname='a'\npolicy='p'", "does not exist"),
        ("[[policy]]\nname='p'\nurgency='x'", "unknown name 'x'"),
        ("[[policy]]\nname='p'\nurgency='1/tasks*0/load'", "urgency"),
    ],
)
def test_invalid_file_is_reported_with_location_and_reason(
    tmp_path, text, expected_text
):
    path = tmp_path / "config.toml"
    path.write_text(text)
    with pytest.raises(_options.InputError) as error_info:
        _file.load(path)
    assert expected_text in error_info.value.message
