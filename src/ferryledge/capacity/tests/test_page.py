"""The page follows from the slopes."""

import pathlib

import ferryledge
from ferryledge import capacity

DOCS = pathlib.Path(ferryledge.__file__).parents[2] / "docs"


def slopes():
    lines = (DOCS / "capacity.jsonl").read_text().splitlines()
    return [capacity.read_slope(line) for line in lines]


def swept():
    lines = (DOCS / "sweep.jsonl").read_text().splitlines()
    return [capacity.read_swept(line) for line in lines]


def test_a_swept_figure_is_carried_on_by_its_power():
    text = (
        '{"name": "x", "unit": "s", "sizes": [10, 100], "busiest": [2, 20], '
        '"budget": 100, "mends": "less of it"}'
    )
    line = capacity.read_swept(text)
    assert round(line.power, 9) == 1.0
    assert round(line.at(1000), 6) == 200.0
    page = capacity.render_page(slopes(), [line])
    assert "- x: less of it." in page


def test_a_swept_figure_that_falls_is_kept():
    text = (
        '{"name": "x", "unit": "", "sizes": [10, 100], "busiest": [8, 4], '
        '"budget": 5, "mends": ""}'
    )
    assert capacity.read_swept(text).at(1000) == 4.0


def test_the_page_is_that_of_the_committed_slopes():
    page = (DOCS / "CAPACITY.md").read_text()
    assert page == capacity.render_page(slopes(), swept())


def test_a_fit():
    line = capacity.fit("x", "s", "task", [(1, 3.0), (2, 5.0), (3, 7.0)])
    assert (line.base, line.per_unit, line.error) == (1.0, 2.0, 0.0)


def test_each_slope_has_enough_points():
    for one in slopes():
        if one.name != "library_floor_mb":
            assert len(one.points) >= 4, one.name


def test_more_work_costs_more():
    small = capacity.work_out(capacity.TODAY, slopes())
    large = capacity.work_out(capacity.TARGET, slopes())
    assert large.scheduler_cpu > small.scheduler_cpu
    assert large.entries > small.entries
