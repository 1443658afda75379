"""The entry process, which accepts jobs over HTTP and schedules them."""

from ferryledge.entry import _command
from ferryledge.entry import _daemon
from ferryledge.entry import _settings

Entry = _daemon.Entry
EntrySettings = _settings.EntrySettings
main = _command.main

__all__ = ["Entry", "EntrySettings", "main"]
