"""How slopes are measured: processor time, memory, points."""

from collections import abc
import functools
import gc
import time
import tracemalloc

from ferryledge import wire

#: Headers of a small TCP segment.
PACKET_BYTES = 66
_REPEATS = 3

Point = abc.Callable[[int], float]


def allocated(make: abc.Callable[[], object]) -> float:
    """Return the bytes that the interpreter allocates for an object."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)


def least_cpu(run: abc.Callable[[], int]) -> float:
    """Return seconds of processor time a unit, the least of some runs."""
    best = float("inf")
    for _ in range(_REPEATS):
        gc.collect()
        started = time.process_time()
        units = run()
        best = min(best, (time.process_time() - started) / units)
    return best


def decode(data: bytes) -> wire.Message:
    """Return the message that some bytes hold."""
    return next(iter(wire.Decoder().feed(data)))


def by(measure: Point, *sizes: int) -> list[tuple[float, float]]:
    """Return a point for each size."""
    return [(float(size), measure(size)) for size in sizes]


def cpu(run: abc.Callable[..., int], *fixed: int) -> Point:
    """Return a measurement of processor time by size."""
    return lambda size: least_cpu(functools.partial(run, size, *fixed))
