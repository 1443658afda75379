"""Stand-ins for the platform's store, endpoints and clients, for tests."""

from ferryledge.platform.standin import _client
from ferryledge.platform.standin import _endpoint
from ferryledge.platform.standin import _settings
from ferryledge.platform.standin import _store

ClientAnswer = _client.ClientAnswer
ClientState = _client.ClientState
EndpointServer = _endpoint.EndpointServer
RunNotice = _endpoint.RunNotice
StoreBehaviour = _store.StoreBehaviour
StoreServer = _store.StoreServer
cordon_key = _settings.cordon_key
render_config = _settings.render_config
render_settings = _settings.render_settings
submit = _client.submit

__all__ = [
    "ClientAnswer",
    "ClientState",
    "EndpointServer",
    "RunNotice",
    "StoreBehaviour",
    "StoreServer",
    "cordon_key",
    "render_config",
    "render_settings",
    "submit",
]
