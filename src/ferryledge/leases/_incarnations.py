"""Names for the starts of an endpoint.

An endpoint may start again under the id that it had, so the id alone
doesn't tell one start from another.
"""

_MARK = "@"


def incarnation_of(endpoint_id: str, born_ms: int) -> str:
    """Return the name of one start of an endpoint.

    :param endpoint_id: the id under which it takes calls
    :param born_ms: Unix time of its start in ms; 0 if it doesn't tell
    """
    return f"{endpoint_id}{_MARK}{born_ms}" if born_ms else endpoint_id


def endpoint_id_of(incarnation: str) -> str:
    """Return the id under which that start takes calls."""
    endpoint_id, mark, _ = incarnation.rpartition(_MARK)
    return endpoint_id if mark else incarnation
