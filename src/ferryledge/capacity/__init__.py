"""Measures what each role costs and works out the cost at other sizes.

``python -m ferryledge.capacity measure`` prints the slopes as JSON lines;
``python -m ferryledge.capacity page FILE`` makes docs/CAPACITY.md of them.
"""

from ferryledge.capacity import _fit
from ferryledge.capacity import _measure
from ferryledge.capacity import _model
from ferryledge.capacity import _page
from ferryledge.capacity import _sweep

Deployment = _model.Deployment
Slope = _fit.Slope
TARGET = _model.TARGET
TODAY = _model.TODAY
fit = _fit.fit
measure_all = _measure.measure_all
read_slope = _fit.read_slope
read_swept = _sweep.read_swept
render_page = _page.render_page
work_out = _model.work_out

__all__ = [
    "TARGET",
    "TODAY",
    "Deployment",
    "Slope",
    "fit",
    "measure_all",
    "read_slope",
    "read_swept",
    "render_page",
    "work_out",
]
