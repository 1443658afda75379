"""Bodies are checked, and answers rendered whole."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from ferryledge import core
from ferryledge.entry import _models
from ferryledge import outcomes

GOOD = {
    "request_id": "r-1",
    "workspace": "shop",
    "service": "quote",
    "tasks": [{"payload": {"sku": 7}}],
}


def body(**changes):
    return json.dumps(GOOD | changes).encode()


def test_a_good_body():
    job = _models.parse_job(body(deadline_ms=500))
    assert job.tasks[0].payload == b'{"sku":7}'
    assert job.deadline_s == 0.5


def test_a_body_may_use_the_earlier_name_of_the_workspace():
    earlier = dict(GOOD)
    earlier["team"] = earlier.pop("workspace")
    data = json.dumps(earlier).encode()
    assert _models.parse_job(data) == _models.parse_job(body())


@pytest.mark.parametrize(
    ("data", "field"),
    [
        (b"", "body"),
        (b"{", "body"),
        (b"[]", "body"),
        (body(tasks=[]), "tasks"),
        (body(tasks=[{}] * 811), "tasks"),
        (body(tasks=[{"payload": 1, "x": 2}]), "tasks.0.x"),
        (body(tasks="many"), "tasks"),
        (body(request_id=""), "request_id"),
        (body(request_id="a/b"), "request_id"),
        (body(request_id="x" * 65), "request_id"),
        (body(workspace=7), "workspace"),
        (body(deadline_ms=-1), "deadline_ms"),
        (body(deadline_ms="soon"), "deadline_ms"),
        (body(urgency=0), "urgency"),
        (body(places=["a"] * 17), "places"),
        (body(color="red"), "color"),
        (b'{"request_id": NaN}', "request_id"),
        (b"\xff", "body"),
    ],
)
def test_a_bad_body_names_its_field(data, field):
    with pytest.raises(_models.InvalidBodyError) as caught:
        _models.parse_job(data)
    assert caught.value.field == field


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(st.binary(max_size=200))
def test_any_bytes_are_refused_cleanly(data):
    try:
        _models.parse_job(data)
    except _models.InvalidBodyError as exc:
        assert exc.field


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    st.dictionaries(
        st.sampled_from([*sorted(GOOD), "urgency", "ticket", "places"]),
        st.recursive(
            st.none() | st.booleans() | st.floats() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=3),
        ),
    )
)
def test_any_fields_are_refused_cleanly(changes):
    try:
        _models.parse_job(json.dumps(GOOD | changes).encode())
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
    shown = {
        "status": response.status,
        "headers": dict(response.headers),
        "body": json.loads(response.body),
    }
    assert shown == snapshot
