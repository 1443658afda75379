"""Tests of request validation and of rendered answers."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from ferryledge import core
from ferryledge.entry import _models
from ferryledge import outcomes

VALID_JOB = {
    "request_id": "r-1",
    "workspace": "shop",
    "service": "quote",
    "tasks": [{"payload": {"sku": 7}}],
}


def _body(**changes):
    return json.dumps(VALID_JOB | changes).encode()


def test_valid_body_is_parsed():
    job = _models.parse_job(_body(deadline_ms=500))
    assert job.tasks[0].payload == b'{"sku":7}'
    assert job.deadline_s == 0.5


def test_former_name_of_workspace_is_accepted():
    former = dict(VALID_JOB)
    former["team"] = former.pop("workspace")
    data = json.dumps(former).encode()
    assert _models.parse_job(data) == _models.parse_job(_body())


@pytest.mark.parametrize(
    ("data", "field"),
    [
        (b"", "body"),
        (b"{", "body"),
        (b"[]", "body"),
        (_body(tasks=[]), "tasks"),
        (_body(tasks=[{}] * 811), "tasks"),
        (_body(tasks=[{"payload": 1, "x": 2}]), "tasks.0.x"),
        (_body(tasks="many"), "tasks"),
        (_body(request_id=""), "request_id"),
        (_body(request_id="a/b"), "request_id"),
        (_body(request_id="x" * 65), "request_id"),
        (_body(workspace=7), "workspace"),
        (_body(deadline_ms=-1), "deadline_ms"),
        (_body(deadline_ms="soon"), "deadline_ms"),
        (_body(urgency=0), "urgency"),
        (_body(places=["a"] * 17), "places"),
        (_body(color="red"), "color"),
        (b'{"request_id": NaN}', "request_id"),
        (b"\xff", "body"),
    ],
)
def test_invalid_body_is_reported_with_its_field(data, field):
    with pytest.raises(_models.InvalidBodyError) as exc_info:
        _models.parse_job(data)
    assert exc_info.value.field == field


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_invalid_body(data):
    try:
        _models.parse_job(data)
    except _models.InvalidBodyError as exc:
        assert exc.field


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*sorted(VALID_JOB), "urgency", "ticket", "places"]),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3),
        ),
    )
)
def test_arbitrary_fields_raise_only_invalid_body(changes):
    try:
        _models.parse_job(json.dumps(VALID_JOB | changes).encode())
    except _models.InvalidBodyError as exc:
        assert exc.field


ORIGIN = outcomes.Origin(outcomes.Step.ADMIT, "entry-2")
ANSWERS = {
    "complete": core.JobAnswer(
        outcomes.Complete((b'{"a":1}', b"null")), ("complete",) * 2
    ),
    "refused": core.JobAnswer(
        outcomes.Refused(outcomes.Reason.DEADLINE, ORIGIN, 2.4)
    ),
    "draining": core.JobAnswer(
        outcomes.Refused(outcomes.Reason.DRAINING, ORIGIN, 0.1)
    ),
    "unknown": core.JobAnswer(
        outcomes.Refused(outcomes.Reason.UNKNOWN_SERVICE, ORIGIN, 0.0)
    ),
    "not_run": core.JobAnswer(
        outcomes.FailedNotRun(outcomes.Reason.CANCELLED, ORIGIN, 0.1),
        ("failed_not_run",),
    ),
    "may_have_run": core.JobAnswer(
        outcomes.FailedMayHaveRun(outcomes.Reason.TASK_FAILED, ORIGIN),
        ("complete", "failed_may_have_run"),
    ),
    "in_progress": core.JobAnswer(outcomes.InProgress(0.5)),
    "ticket": core.JobAnswer(outcomes.TicketRequired("a~b~1")),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_answers(name, snapshot):
    response = _models.render_answer("r-1", ANSWERS[name], "entry-1")
    rendered = {
        "status": response.status,
        "headers": dict(response.headers),
        "body": json.loads(response.body),
    }
    assert rendered == snapshot
