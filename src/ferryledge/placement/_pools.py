"""Which endpoints form a pool and which entry schedules it.

Every process works it out alone, by rendezvous hashing over the names it
knows. Two processes that know different names may disagree for a while;
that costs messages, never a second start, since agents decide on starts.
"""

from collections import abc
import functools
import hashlib
import math

_DIGEST_BYTES = 8


@functools.lru_cache(maxsize=65_536)
def _score(key: str, name: str) -> bytes:
    data = f"{key}|{name}".encode()
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def rank(key: str, names: abc.Iterable[str]) -> list[str]:
    """Return the names in the key's order of preference."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def pool_count(endpoints: int, pool_size: int) -> int:
    """Return the number of pools for so many endpoints."""
    return max(1, math.ceil(endpoints / pool_size))


def pool_of(endpoint: str, pools: int) -> int:
    """Return the index of the pool to which an endpoint belongs."""
    if pools == 1:
        return 0
    return int(rank(endpoint, map(str, range(pools)))[0])
