"""Assignment of endpoints to pools and of pools to entries.

Every process computes the assignment by rendezvous hashing over the names
that it knows. Processes that know different names may disagree for a time.
This costs messages but starts no task twice, since an agent's ledger lets each
bound task start at most once.
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
    """Return the names by descending rendezvous score for a key."""
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def pool_count(endpoints: int, pool_size: int) -> int:
    """Return the number of pools for a number of endpoints."""
    return max(1, math.ceil(endpoints / pool_size))


def pool_of(endpoint: str, pools: int) -> int:
    """Return the index of an endpoint's pool.

    :param endpoint: the endpoint's name
    :param pools: the number of pools
    """
    if pools == 1:
        return 0
    return int(rank(endpoint, map(str, range(pools)))[0])
