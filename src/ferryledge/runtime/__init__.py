"""Shared parts of the daemons: settings, logs, metrics, streams, HTTP."""

from ferryledge import logs
from ferryledge import net
from ferryledge.runtime import _metrics
from ferryledge.runtime import _platform
from ferryledge.runtime import _settings

AppendLostError = _platform.AppendLostError
BodyError = net.BodyError
Driver = net.Driver
Handler = net.Handler
CallError = net.CallError
ConnectError = net.ConnectError
HttpClient = net.HttpClient
HttpResponse = net.HttpResponse
Mesh = net.Mesh
Metrics = _metrics.Metrics
PeerAddress = net.PeerAddress
PlatformClient = _platform.PlatformClient
PlatformError = _platform.PlatformError
ProcessSettings = _settings.ProcessSettings
Request = net.Request
VmRecord = _platform.VmRecord
VmRole = _platform.VmRole
VmState = _platform.VmState
asgi_app = net.asgi_app
configure_logging = logs.configure_logging
load_settings = _settings.load_settings
new_incarnation = net.new_incarnation
run_daemon = net.run_daemon
serve_http = net.serve_http
settings_options = _settings.settings_options

__all__ = [
    "AppendLostError",
    "BodyError",
    "CallError",
    "ConnectError",
    "Driver",
    "Handler",
    "HttpClient",
    "HttpResponse",
    "Mesh",
    "Metrics",
    "PeerAddress",
    "PlatformClient",
    "PlatformError",
    "ProcessSettings",
    "Request",
    "VmRecord",
    "VmRole",
    "VmState",
    "asgi_app",
    "configure_logging",
    "load_settings",
    "new_incarnation",
    "run_daemon",
    "serve_http",
    "settings_options",
]
