"""Replays loads against the cores of entries and agents in virtual time.

``python -m ferryledge.loads play FILE`` replays one, beside one queue that
knows all sizes; ``ablate FILE...`` measures what each rule of an entry brings.
"""

from ferryledge.loads import _ablation
from ferryledge.loads import _files
from ferryledge.loads import _ideal
from ferryledge.loads import _jobs
from ferryledge.loads import _outcomes
from ferryledge.loads import _patterns
from ferryledge.loads import _play
from ferryledge.loads import _plots
from ferryledge.loads import _world

JobEnd = _outcomes.JobEnd
CALL_S = _world.CALL_S
CORDON_S = _world.CORDON_S
HOP_S = _world.HOP_S
JOB_CLASS = _world.JOB_CLASS
Kind = _patterns.Kind
Load = _patterns.Load
LoadError = _files.LoadError
MOST_CRASHES = _world.MOST_CRASHES
OPERATORS_S = _world.OPERATORS_S
ROOM = _world.ROOM
Results = _outcomes.Results
World = _world.World
draw = _jobs.draw
measure = _ablation.measure
play = _play.play
plot = _plots.plot
pool_cores = _play.pool_cores
read = _files.read
rule_names = _ablation.rule_names
without = _ablation.without


def serve_ideally(load: Load, seed: int) -> Results:
    """Return what becomes of a load in one queue that knows all sizes."""
    cores = pool_cores(load)
    return _ideal.serve(draw(load, seed, cores), cores)


__all__ = [
    "CALL_S",
    "CORDON_S",
    "HOP_S",
    "JOB_CLASS",
    "MOST_CRASHES",
    "OPERATORS_S",
    "ROOM",
    "JobEnd",
    "Kind",
    "Load",
    "LoadError",
    "Results",
    "World",
    "draw",
    "measure",
    "play",
    "plot",
    "pool_cores",
    "read",
    "rule_names",
    "serve_ideally",
    "without",
]
