"""Odd values in the jobs that clients submit."""

import json

import pytest

from ferryledge.decoding.tests import odd_values
from ferryledge import leases
from ferryledge import platform
from ferryledge.platform.tests import jobs

_CLASS = leases.JobClass("quick", "desk", attempts=3, stretch=1.6)


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
