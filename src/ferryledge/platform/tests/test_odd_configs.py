"""Odd values in the configurations that operators write."""

import json

import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge import platform
from ferryledge.platform.tests import jobs
from ferryledge import wire

_ROUTE = {
    "Name": "quick", "Hostname": "a", "PathPrefix": "/q/", "Backend": "desk",
    "TargetLatencyMs": 60, "Priority": 1, "Attempts": 3, "Stretch": 1.6,
}  # fmt: skip
_CONFIGS = odd_values.variants({"Version": 3, "Routes": [_ROUTE]})


# Guards against configurations that end each entry that reads them.
@pytest.mark.parametrize("data", _CONFIGS.values(), ids=_CONFIGS.keys())
def test_odd_config_is_rejected_or_usable(data: bytes) -> None:
    try:
        config = platform.parse_config(data)
    except platform.ConfigError:
        return
    assert wire.encode(wire.KeepAlive(config.version))
    for hostname in ("a", "x", ""):
        route = config.find(hostname, "/q/1")
        if route is not None:
            body = json.dumps(jobs.JOB).encode()
            job = platform.parse_job("j", body, route.job_class, 1.5)
            jobs.encode_job(job)


@pytest.mark.parametrize("field", ["Priority", "Attempts"])
def test_odd_number_of_a_route_does_not_hide_the_other_routes(
    field: str,
) -> None:
    other = {**_ROUTE, "PathPrefix": "/other/", field: 2**64}
    text = json.dumps({"Version": 3, "Routes": [_ROUTE, other]})
    config = platform.parse_config(text.encode())
    assert config.find("a", "/q/1") is not None
    assert config.find("a", "/other/1") is not None
