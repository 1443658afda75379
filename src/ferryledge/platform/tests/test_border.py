"""What the platform sends is decoded once, and checked."""

import json

import pytest

from ferryledge import leases
from ferryledge import outcomes
from ferryledge import platform
from ferryledge.platform import standin
from ferryledge import wire

JOB_CLASS = leases.JobClass("quick", "desk", attempts=3, stretch=1.6)


def _settings(**changes: str) -> str:
    text = standin.render_settings("n1", "10.0.0.1", "", 7720, "10.0.0.9:80")
    for old, new in changes.items():
        text = text.replace(f"{old} = ", f"{new} = ")
    return text


def _body(**step: object) -> bytes:
    steps = [{"Count": 2, "Cpu": 500, "MemMb": 64, **step}]
    return json.dumps(
        {"Spec": "x", "Steps": steps, "BestEffort": True}
    ).encode()


def test_settings_are_read_and_unknown_fields_passed_over() -> None:
    settings = platform.parse_settings("New = 1\n" + _settings())
    assert settings.node == "n1"
    assert settings.stream_port == 7720
    assert settings.store.address == "10.0.0.9:80"
    assert settings.bounds.grace_s == 6
    assert settings.link_bytes_per_s == float("inf")


def test_link_is_read_in_bytes_a_second() -> None:
    text = _settings() + "[Limits]\nLinkMbps = 2.0\n"
    assert platform.parse_settings(text).link_bytes_per_s == 250_000.0


def test_missing_setting_is_named() -> None:
    with pytest.raises(platform.SettingsError, match="Node"):
        platform.parse_settings(_settings(Node="Other"))


def test_wrong_setting_is_named() -> None:
    text = _settings().replace('Zone = "north"', "Zone = 7")
    with pytest.raises(platform.SettingsError, match=r"\$\.Zone"):
        platform.parse_settings(text)


def test_text_that_is_no_toml_is_an_error() -> None:
    with pytest.raises(platform.SettingsError, match="no TOML"):
        platform.parse_settings("Node = ")


@pytest.mark.parametrize("address", ["", "host", ":80", "host:x"])
def test_wrong_address_is_an_error(address: str) -> None:
    with pytest.raises(platform.SettingsError):
        platform.split_address(address)


def test_longest_prefix_of_the_host_wins() -> None:
    routes = [
        {"Name": name, "Hostname": "A.example", "PathPrefix": prefix,
         "Backend": "desk"}
        for name, prefix in (("short", "/q/"), ("long", "/q/r/"))
    ]  # fmt: skip
    text = json.dumps({"Version": 3, "Routes": routes}).encode()
    config = platform.parse_config(text)
    found = config.find("a.example", "/q/r/7")
    assert found is not None and found.job_class.name == "long"
    assert config.find("b.example", "/q/7") is None


@pytest.mark.parametrize(
    ("key", "zone"),
    [("evacuate/hall-a", "hall-a"), ("config", None), ("wave/1", None)],
)
def test_zone_is_cordoned_by_its_key(key: str, zone: str | None) -> None:
    assert platform.cordoned_zone(key) == zone


def test_unreadable_config_is_an_error() -> None:
    with pytest.raises(platform.ConfigError):
        platform.parse_config(b'{"Version": "x"}')


def test_job_is_decoded_with_its_wishes() -> None:
    body = _body(EstimateMs=250, Requires="b", Affinity="r1", AntiAffinity=1)
    job = platform.parse_job("j", body, JOB_CLASS, 2.0)
    (step,) = job.steps
    assert step.need == wire.Resources(500, 64, 0)
    assert (step.estimate_s, step.label) == (0.25, "b")
    assert (step.near, step.max_per_endpoint) == ("r1", 1)


@pytest.mark.parametrize(
    "wish", ["Gang", "Speculative", "LongRunning", "Fills"]
)
def test_job_that_can_not_be_run_as_described_is_named(wish: str) -> None:
    with pytest.raises(platform.UnsupportedJobError) as error:
        platform.parse_job("j", _body(**{wish: True}), JOB_CLASS, 0.0)
    assert error.value.field.replace("_", "") == wish.lower()


def test_job_that_must_be_kept_is_not_taken() -> None:
    body = json.dumps({"Spec": "x", "Steps": [{"Count": 1}]}).encode()
    with pytest.raises(platform.UnsupportedJobError, match="BestEffort"):
        platform.parse_job("j", body, JOB_CLASS, 0.0)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", _body(Count=0), _body(Count=-1), _body(Cpu=-1),
     _body(DependsOn=[0]),
     b'{"Spec": "x", "Steps": [], "BestEffort": true}'],
)  # fmt: skip
def test_body_that_is_no_job_is_an_error(body: bytes) -> None:
    with pytest.raises(platform.MalformedJobError):
        platform.parse_job("j", body, JOB_CLASS, 0.0)


@pytest.mark.parametrize(
    ("text", "seconds"), [("", 0.0), ("1500", 1.5), ("-3", 0.0)]
)
def test_deadline_of_a_client(text: str, seconds: float) -> None:
    assert platform.parse_deadline(text) == seconds


def test_deadline_that_is_no_number_is_an_error() -> None:
    with pytest.raises(platform.MalformedJobError, match="Deadline-Ms"):
        platform.parse_deadline("soon")


def test_refusal_tells_when_to_come_back() -> None:
    origin = outcomes.Origin(outcomes.Step.ADMIT)
    refused = outcomes.Refused(outcomes.Reason.CAPACITY, origin, 2.2)
    response = platform.render_outcome(refused)
    assert response.status == 503
    assert ("retry-after", "2") in response.headers


@pytest.mark.parametrize(
    ("reason", "status"),
    [(outcomes.Reason.TASK_FAILED, 200), (outcomes.Reason.DEADLINE, 504)],
)
def test_only_a_job_that_can_not_be_done_is_shown_as_failed(
    reason: outcomes.Reason, status: int
) -> None:
    origin = outcomes.Origin(outcomes.Step.RUN)
    response = platform.render_outcome(
        outcomes.FailedMayHaveRun(reason, origin)
    )
    assert response.status == status


_BEAT: dict[str, object] = {
    "Backend": "desk", "Address": "a:1", "Zone": "north", "Version": "v1",
    "Slots": 8, "State": "draining", "ColdMs": 0, "RemainingMs": 1500,
    "Capacity": {"Cpu": 16000, "MemMb": 100, "Gpu": 0},
    "Labels": ["a", "r1"], "ClockMs": 77, "Seq": 4, "born": 1_785_154_628_500,
}  # fmt: skip
_OPTIONAL = ("RemainingMs", "born")


def _beat(**changes: object) -> bytes:
    return json.dumps({**_BEAT, **changes}).encode()


def test_heartbeat_is_decoded() -> None:
    seen = platform.parse_heartbeat("i-1", _beat())
    assert seen.draining and seen.remaining_s == 1.5
    assert seen.capacity == wire.Resources(16000, 100, 0)
    assert (seen.clock_ms, seen.number) == (77, 4)
    assert seen.incarnation == "i-1@1785154628500"


def test_heartbeat_that_does_not_tell_its_start_goes_by_its_id() -> None:
    beat = {name: _BEAT[name] for name in _BEAT if name not in _OPTIONAL}
    seen = platform.parse_heartbeat("i-1", json.dumps(beat).encode())
    assert seen.incarnation == "i-1"


@pytest.mark.parametrize("field", [f for f in _BEAT if f not in _OPTIONAL])
def test_heartbeat_without_a_field_names_no_endpoint(field: str) -> None:
    beat = {name: _BEAT[name] for name in _BEAT if name != field}
    with pytest.raises(platform.HeartbeatError, match=field):
        platform.parse_heartbeat("i-1", json.dumps(beat).encode())


@pytest.mark.parametrize("field", _BEAT)
@pytest.mark.parametrize("value", [None, {"x": 1}, True])
def test_heartbeat_with_a_wrong_type_names_no_endpoint(
    field: str, value: object
) -> None:
    with pytest.raises(platform.HeartbeatError):
        platform.parse_heartbeat("i-1", _beat(**{field: value}))


@pytest.mark.parametrize(
    "changes",
    [{"State": "paused"}, {"Seq": "4"}, {"Seq": -1}, {"born": -1},
     {"born": "1785154628500"}, {"born": 1.5}, {"Labels": "a"},
     {"Capacity": {"Cpu": 16000}}],
)  # fmt: skip
def test_heartbeat_of_another_writer_names_no_endpoint(
    changes: dict[str, object],
) -> None:
    with pytest.raises(platform.HeartbeatError):
        platform.parse_heartbeat("i-1", _beat(**changes))


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b"\xff\xfe", b"null"])
def test_body_that_is_no_heartbeat_is_an_error(body: bytes) -> None:
    with pytest.raises(platform.HeartbeatError):
        platform.parse_heartbeat("i-1", body)


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [(b'{"born": 1785154628500}', 1_785_154_628_500), (b"{}", 0), (b"", 0),
     (b'{"born": "x"}', 0), (b"\xff", 0)],
)  # fmt: skip
def test_last_word_tells_which_start_ends(body: bytes, born_ms: int) -> None:
    left = platform.parse_deregister("i-1", body)
    assert left.incarnation == leases.incarnation_of("i-1", born_ms)
