"""Identifiers of the incarnations of a process."""

import secrets


def new_incarnation() -> str:
    """Return a random identifier for this start of the process."""
    return secrets.token_hex(5)
