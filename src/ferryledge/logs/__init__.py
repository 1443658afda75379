"""Logs as JSON lines."""

from ferryledge.logs import _setup

configure_logging = _setup.configure_logging

__all__ = ["configure_logging"]
