"""The agent process, which alone starts tasks on its endpoint."""

from ferryledge.agent import _command
from ferryledge.agent import _daemon
from ferryledge.agent import _settings

Agent = _daemon.Agent
AgentSettings = _settings.AgentSettings
main = _command.main

__all__ = ["Agent", "AgentSettings", "main"]
