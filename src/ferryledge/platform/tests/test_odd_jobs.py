"""Odd values in the jobs that clients submit."""

import json

import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge import leases
from ferryledge import platform
from ferryledge.platform.tests import jobs

_CLASS = leases.JobClass("quick", "desk", attempts=3, stretch=1.6)


# Guards against jobs that end the entry that takes them.
@pytest.mark.parametrize("body", jobs.JOBS.values(), ids=jobs.JOBS.keys())
def test_odd_job_is_refused_or_can_be_sent_on(body: bytes) -> None:
    try:
        job = platform.parse_job("j", body, _CLASS, 1.5)
    except platform.JobError:
        return
    jobs.encode_job(job)
    assert all(0.0 <= step.estimate_s <= 1e6 for step in job.steps)


@pytest.mark.parametrize("field", ["Cpu", "MemMb", "Gpu"])
@pytest.mark.parametrize(
    "amount", [text for text in odd_values.LARGE if text != "10^5000"]
)
def test_job_larger_than_any_endpoint_is_unsupported(
    field: str, amount: str
) -> None:
    """Guards against jobs that end the entry that takes them."""
    value = odd_values.LARGE[amount]
    body = json.dumps({**jobs.JOB, "Steps": [{**jobs.STEP, field: "odd"}]})
    body = body.replace('"odd"', value)
    with pytest.raises(platform.UnsupportedJobError, match=field):
        platform.parse_job("j", body.encode(), _CLASS, 1.5)


@pytest.mark.parametrize("field", ["EstimateMs", "AntiAffinity"])
def test_negative_amount_is_malformed(field: str) -> None:
    """Guards against an objective of 0, by which times are divided."""
    body = json.dumps(
        {**jobs.JOB, "Steps": [{**jobs.STEP, field: -500}]}
    ).encode()
    with pytest.raises(platform.MalformedJobError, match=field):
        platform.parse_job("j", body, _CLASS, 1.5)


def test_repeated_dependencies_count_once() -> None:
    """Guards against a list that no peer's decoder accepts."""
    steps = [jobs.STEP, jobs.STEP, {**jobs.STEP, "DependsOn": [1, 0] * 5000}]
    body = json.dumps({**jobs.JOB, "Steps": steps}).encode()
    job = platform.parse_job("j", body, _CLASS, 1.5)
    assert job.steps[2].depends_on == (0, 1)
    jobs.encode_job(job)


def test_label_that_no_endpoint_has_is_unsupported() -> None:
    steps = [{**jobs.STEP, "Requires": "x" * 1000}]
    body = json.dumps({**jobs.JOB, "Steps": steps}).encode()
    with pytest.raises(platform.UnsupportedJobError, match="Requires"):
        platform.parse_job("j", body, _CLASS, 1.5)


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "9" * 400, "x", "٣x"])
def test_deadline_that_is_no_finite_number_is_malformed(value: str) -> None:
    with pytest.raises(platform.MalformedJobError, match="Deadline-Ms"):
        platform.parse_deadline(value)


@pytest.mark.parametrize(
    ("value", "deadline_s"),
    [("1500", 1.5), ("-1", 0.0), ("86400000", 86_400.0), ("1e308", 0.0)],
)
def test_deadline_is_limited(value: str, deadline_s: float) -> None:
    assert platform.parse_deadline(value) == deadline_s
