"""Names for single starts of a process."""

import secrets


def new_incarnation() -> str:
    """Return a name for this start of the process."""
    return secrets.token_hex(5)
