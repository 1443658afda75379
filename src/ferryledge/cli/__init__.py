"""Command line for operators and clients."""

from ferryledge.cli import _command

main = _command.main

__all__ = ["main"]
