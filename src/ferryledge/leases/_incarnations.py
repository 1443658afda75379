"""Names of the incarnations of an endpoint.

An endpoint may restart under the same id, so an incarnation is named by the
id and the time of its start.
"""

import re

_SEPARATOR = "@"
#: Ids are sent in a header of each call.
_ENDPOINT_ID = re.compile("[!-~]{1,256}")


def is_endpoint_id(text: str) -> bool:
    """Return whether a text may be the id of an endpoint."""
    return _ENDPOINT_ID.fullmatch(text) is not None


def incarnation_of(endpoint_id: str, born_ms: int) -> str:
    """Return the name of an incarnation.

    :param endpoint_id: the id by which the endpoint is called
    :param born_ms: Unix time of its start in ms; 0 if it isn't reported
    """
    return f"{endpoint_id}{_SEPARATOR}{born_ms}" if born_ms else endpoint_id


def endpoint_id_of(incarnation: str) -> str:
    """Return the id by which an incarnation is called."""
    endpoint_id, mark, _ = incarnation.rpartition(_SEPARATOR)
    return endpoint_id if mark else incarnation
