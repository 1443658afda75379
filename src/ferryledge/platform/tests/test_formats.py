"""Decoding and validation of settings, configurations, jobs, heartbeats."""

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


def test_unknown_settings_are_ignored() -> None:
    settings = platform.parse_settings("New = 1\n" + _settings())
    assert settings.node == "n1"
    assert settings.stream_port == 7720
    assert settings.store.address == "10.0.0.9:80"
    assert settings.bounds.grace_s == 6
    assert settings.link_bytes_per_s == float("inf")


def test_link_bandwidth_is_converted_to_bytes_per_second() -> None:
    text = _settings() + "[Limits]\nLinkMbps = 2.0\n"
    assert platform.parse_settings(text).link_bytes_per_s == 250_000.0


def test_error_names_a_missing_setting() -> None:
    with pytest.raises(platform.SettingsError, match="Node"):
        platform.parse_settings(_settings(Node="Other"))


def test_error_names_an_invalid_setting() -> None:
    text = _settings().replace('Zone = "north"', "Zone = 7")
    with pytest.raises(platform.SettingsError, match=r"\$\.Zone"):
        platform.parse_settings(text)


def test_invalid_toml_is_an_error() -> None:
    with pytest.raises(platform.SettingsError, match="not valid TOML"):
        platform.parse_settings("Node = ")


@pytest.mark.parametrize("address", ["", "host", ":80", "host:x"])
def test_malformed_address_is_an_error(address: str) -> None:
    with pytest.raises(platform.SettingsError):
        platform.split_address(address)


def test_route_with_the_longest_path_prefix_is_found() -> None:
    routes = [
        {"Name": name, "Hostname": "A.example", "PathPrefix": prefix,
         "Backend": "desk"}
        for name, prefix in (("short", "/q/"), ("long", "/q/r/"))
    ]  # fmt: skip
    text = json.dumps({"Version": 3, "Routes": routes}).encode()
    config = platform.parse_config(text)
    route = config.find("a.example", "/q/r/7")
    assert route is not None and route.job_class.name == "long"
    assert config.find("b.example", "/q/7") is None


@pytest.mark.parametrize(
    ("key", "zone"),
    [("evacuate/hall-a", "hall-a"), ("config", None), ("wave/1", None)],
)
def test_cordoned_zone_is_read_from_the_key(
    key: str, zone: str | None
) -> None:
    assert platform.cordoned_zone(key) == zone


def test_malformed_config_is_an_error() -> None:
    with pytest.raises(platform.ConfigError):
        platform.parse_config(b'{"Version": "x"}')


def test_job_is_decoded_with_placement_options() -> None:
    body = _body(EstimateMs=250, Requires="b", Affinity="r1", AntiAffinity=1)
    job = platform.parse_job("j", body, JOB_CLASS, 2.0)
    (step,) = job.steps
    assert step.need == wire.Resources(500, 64, 0)
    assert (step.estimate_s, step.label) == (0.25, "b")
    assert (step.near, step.max_per_endpoint) == ("r1", 1)


@pytest.mark.parametrize(
    "option", ["Gang", "Speculative", "LongRunning", "Fills"]
)
def test_error_names_an_unsupported_option(option: str) -> None:
    with pytest.raises(platform.UnsupportedJobError) as error:
        platform.parse_job("j", _body(**{option: True}), JOB_CLASS, 0.0)
    assert error.value.field.replace("_", "") == option.lower()


def test_stored_job_is_not_supported() -> None:
    body = json.dumps({"Spec": "x", "Steps": [{"Count": 1}]}).encode()
    with pytest.raises(platform.UnsupportedJobError, match="BestEffort"):
        platform.parse_job("j", body, JOB_CLASS, 0.0)


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", _body(Count=0), _body(Count=-1), _body(Cpu=-1),
     _body(DependsOn=[0]),
     b'{"Spec": "x", "Steps": [], "BestEffort": true}'],
)  # fmt: skip
def test_malformed_job_is_an_error(body: bytes) -> None:
    with pytest.raises(platform.MalformedJobError):
        platform.parse_job("j", body, JOB_CLASS, 0.0)


@pytest.mark.parametrize(
    ("text", "seconds"), [("", 0.0), ("1500", 1.5), ("-3", 0.0)]
)
def test_deadline_header_is_decoded(text: str, seconds: float) -> None:
    assert platform.parse_deadline(text) == seconds


def test_deadline_that_is_not_a_number_is_an_error() -> None:
    with pytest.raises(platform.MalformedJobError, match="Deadline-Ms"):
        platform.parse_deadline("soon")


def test_refusal_has_a_retry_after_header() -> None:
    origin = outcomes.Origin(outcomes.Step.ADMIT)
    refused = outcomes.Refused(outcomes.Reason.CAPACITY, origin, 2.2)
    response = platform.render_outcome(refused)
    assert response.status == 503
    assert ("retry-after", "2") in response.headers


@pytest.mark.parametrize(
    ("reason", "status"),
    [(outcomes.Reason.TASK_FAILED, 200), (outcomes.Reason.DEADLINE, 504)],
)
def test_only_a_job_with_a_failed_task_is_reported_as_failed(
    reason: outcomes.Reason, status: int
) -> None:
    origin = outcomes.Origin(outcomes.Step.RUN)
    response = platform.render_outcome(
        outcomes.FailedMayHaveRun(reason, origin)
    )
    assert response.status == status


@pytest.mark.parametrize(
    ("reason", "state"),
    [
        (outcomes.Reason.CANCELLED, "canceled"),
        (outcomes.Reason.TASK_FAILED, "failed"),
    ],
)
def test_job_that_has_ended_is_answered_with_its_state(
    reason: outcomes.Reason, state: str
) -> None:
    """Guards against an answer after which a client submits again."""
    origin = outcomes.Origin(outcomes.Step.CANCEL)
    response = platform.render_outcome(
        outcomes.FailedMayHaveRun(reason, origin)
    )
    assert response.status == 200
    assert json.loads(response.body) == {"State": state}


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/holds/5c0e7a21d94b36f8", "5c0e7a21d94b36f8"),
        ("/5C0E7A21D94B36F8", "5C0E7A21D94B36F8"),
        ("/holds/", ""),
        ("/holds/5c0e7a21d94b36f", ""),
        ("/holds/5c0e7a21d94b36f8/", ""),
    ],
)
def test_job_is_named_at_the_end_of_a_path(path: str, name: str) -> None:
    assert platform.find_job_name(path) == name


_HEARTBEAT: dict[str, object] = {
    "Backend": "desk", "Address": "a:1", "Zone": "north", "Version": "v1",
    "Slots": 8, "State": "draining", "ColdMs": 0, "RemainingMs": 1500,
    "Capacity": {"Cpu": 16000, "MemMb": 100, "Gpu": 0},
    "Labels": ["a", "r1"], "ClockMs": 77, "Seq": 4, "born": 1_785_154_628_500,
}  # fmt: skip
_OPTIONAL = ("RemainingMs", "born")


def _encode_heartbeat(**changes: object) -> bytes:
    return json.dumps({**_HEARTBEAT, **changes}).encode()


def test_heartbeat_is_decoded() -> None:
    heartbeat = platform.parse_heartbeat("i-1", _encode_heartbeat())
    assert heartbeat.draining and heartbeat.remaining_s == 1.5
    assert heartbeat.capacity == wire.Resources(16000, 100, 0)
    assert (heartbeat.clock_ms, heartbeat.number) == (77, 4)
    assert heartbeat.incarnation == "i-1@1785154628500"


def test_incarnation_without_a_start_time_is_the_id() -> None:
    fields = {
        name: _HEARTBEAT[name] for name in _HEARTBEAT if name not in _OPTIONAL
    }
    heartbeat = platform.parse_heartbeat("i-1", json.dumps(fields).encode())
    assert heartbeat.incarnation == "i-1"


@pytest.mark.parametrize(
    "field", [key for key in _HEARTBEAT if key not in _OPTIONAL]
)
def test_heartbeat_without_a_required_field_is_an_error(field: str) -> None:
    fields = {name: _HEARTBEAT[name] for name in _HEARTBEAT if name != field}
    with pytest.raises(platform.HeartbeatError, match=field):
        platform.parse_heartbeat("i-1", json.dumps(fields).encode())


@pytest.mark.parametrize("field", _HEARTBEAT)
@pytest.mark.parametrize("value", [None, {"x": 1}, True])
def test_heartbeat_with_a_wrong_type_is_an_error(
    field: str, value: object
) -> None:
    with pytest.raises(platform.HeartbeatError):
        platform.parse_heartbeat("i-1", _encode_heartbeat(**{field: value}))


@pytest.mark.parametrize(
    "changes",
    [{"State": "paused"}, {"Seq": "4"}, {"Seq": -1}, {"born": -1},
     {"born": "1785154628500"}, {"born": 1.5}, {"Labels": "a"},
     {"Capacity": {"Cpu": 16000}}],
)  # fmt: skip
def test_heartbeat_with_an_invalid_value_is_an_error(
    changes: dict[str, object],
) -> None:
    with pytest.raises(platform.HeartbeatError):
        platform.parse_heartbeat("i-1", _encode_heartbeat(**changes))


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b"\xff\xfe", b"null"])
def test_malformed_heartbeat_is_an_error(body: bytes) -> None:
    with pytest.raises(platform.HeartbeatError):
        platform.parse_heartbeat("i-1", body)


@pytest.mark.parametrize(
    ("body", "born_ms"),
    [(b'{"born": 1785154628500}', 1_785_154_628_500), (b"{}", 0), (b"", 0),
     (b'{"born": "x"}', 0), (b"\xff", 0)],
)  # fmt: skip
def test_deregistration_is_decoded(body: bytes, born_ms: int) -> None:
    left = platform.parse_deregister("i-1", body)
    assert left.incarnation == leases.incarnation_of("i-1", born_ms)
