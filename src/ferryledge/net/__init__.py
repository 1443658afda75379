"""Message streams, HTTP clients and servers, and drivers of cores."""

from ferryledge.net import _asgi
from ferryledge.net import _daemon
from ferryledge.net import _driver
from ferryledge.net import _http
from ferryledge.net import _http_connection
from ferryledge.net import _incarnation
from ferryledge.net import _mesh
from ferryledge.net import _server

BodyError = _asgi.BodyError
Driver = _driver.Driver
Handler = _asgi.Handler
CallError = _http_connection.CallError
CallResponse = _http_connection.CallResponse
ConnectError = _http_connection.ConnectError
HttpClient = _http.HttpClient
ResponseTimeoutError = _http_connection.ResponseTimeoutError
NoResponseError = _http_connection.NoResponseError
HttpResponse = _asgi.HttpResponse
Mesh = _mesh.Mesh
PeerAddress = _mesh.PeerAddress
Request = _asgi.Request
asgi_app = _asgi.asgi_app
new_incarnation = _incarnation.new_incarnation
run_daemon = _daemon.run_daemon
serve_http = _server.serve_http
serve_until_cancelled = _server.serve_until_cancelled

__all__ = [
    "BodyError",
    "CallError",
    "CallResponse",
    "ConnectError",
    "Driver",
    "Handler",
    "HttpClient",
    "HttpResponse",
    "Mesh",
    "NoResponseError",
    "PeerAddress",
    "Request",
    "ResponseTimeoutError",
    "asgi_app",
    "new_incarnation",
    "run_daemon",
    "serve_http",
    "serve_until_cancelled",
]
