"""What the daemons share: settings, logs, metrics, streams, HTTP."""

from ferryledge.runtime import _asgi
from ferryledge.runtime import _driver
from ferryledge.runtime import _http
from ferryledge.runtime import _logging
from ferryledge.runtime import _mesh
from ferryledge.runtime import _metrics
from ferryledge.runtime import _platform
from ferryledge.runtime import _server
from ferryledge.runtime import _settings
from ferryledge.runtime import _stop

AppendLostError = _platform.AppendLostError
BodyError = _asgi.BodyError
Driver = _driver.Driver
Handler = _asgi.Handler
HttpCaller = _http.HttpCaller
HttpResponse = _asgi.HttpResponse
Mesh = _mesh.Mesh
Metrics = _metrics.Metrics
PeerAddress = _mesh.PeerAddress
PlatformClient = _platform.PlatformClient
PlatformError = _platform.PlatformError
ProcessSettings = _settings.ProcessSettings
Request = _asgi.Request
VmRecord = _platform.VmRecord
VmRole = _platform.VmRole
VmState = _platform.VmState
asgi_app = _asgi.asgi_app
configure_logging = _logging.configure_logging
load_settings = _settings.load_settings
new_incarnation = _settings.new_incarnation
run_daemon = _stop.run_daemon
serve_http = _server.serve_http
settings_options = _settings.settings_options

__all__ = [
    "AppendLostError",
    "BodyError",
    "Driver",
    "Handler",
    "HttpCaller",
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
