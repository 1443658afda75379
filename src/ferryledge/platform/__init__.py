"""Formats and protocols of the platform that this project runs on.

Settings, configurations, jobs and heartbeats are decoded and validated here
into the project's own types. Scheduling decisions are made elsewhere.
"""

import typing

from ferryledge import _lazy

if typing.TYPE_CHECKING:
    from ferryledge.platform import _config
    from ferryledge.platform import _endpoint
    from ferryledge.platform import _heartbeat
    from ferryledge.platform import _jobs
    from ferryledge.platform import _settings
    from ferryledge.platform import _store

    CONFIG_KEY = _config.CONFIG_KEY
    CONFIG_TOPIC = _config.CONFIG_TOPIC
    ConfigError = _config.ConfigError
    Configuration = _config.Configuration
    EndpointCalls = _endpoint.EndpointCalls
    HeartbeatError = _heartbeat.HeartbeatError
    JobError = _jobs.JobError
    KeyedPage = _store.KeyedPage
    KeyedRecord = _store.KeyedRecord
    MAX_NAME_CHARS = _jobs.MAX_NAME_CHARS
    MalformedJobError = _jobs.MalformedJobError
    Rate = _store.Rate
    RecordsGoneError = _store.RecordsGoneError
    Route = _config.Route
    Settings = _settings.Settings
    SettingsError = _settings.SettingsError
    StoreClient = _store.StoreClient
    StoreError = _store.StoreError
    UnsupportedJobError = _jobs.UnsupportedJobError
    config_version = _config.config_version
    cordoned_zone = _config.cordoned_zone
    find_job_name = _jobs.find_job_name
    parse_config = _config.parse_config
    parse_deadline = _jobs.parse_deadline
    parse_deregister = _heartbeat.parse_deregister
    parse_heartbeat = _heartbeat.parse_heartbeat
    parse_job = _jobs.parse_job
    parse_settings = _settings.parse_settings
    read_settings = _settings.read_settings
    render_absent = _jobs.render_absent
    render_refusal = _jobs.render_refusal
    render_outcome = _jobs.render_outcome
    render_pending = _jobs.render_pending
    render_running = _jobs.render_running
    render_unconfirmed = _jobs.render_unconfirmed
    split_address = _settings.split_address
else:
    # Loaded on first use: an agent doesn't need the modules for jobs and
    # configurations, and an entry doesn't need those for endpoints.
    __getattr__ = _lazy.attach(
        __name__,
        {
            "_config": (
                "CONFIG_KEY",
                "CONFIG_TOPIC",
                "ConfigError",
                "Configuration",
                "Route",
                "config_version",
                "cordoned_zone",
                "parse_config",
            ),
            "_endpoint": ("EndpointCalls",),
            "_heartbeat": (
                "HeartbeatError",
                "parse_deregister",
                "parse_heartbeat",
            ),
            "_jobs": (
                "JobError",
                "MAX_NAME_CHARS",
                "MalformedJobError",
                "UnsupportedJobError",
                "find_job_name",
                "parse_deadline",
                "parse_job",
                "render_absent",
                "render_refusal",
                "render_outcome",
                "render_pending",
                "render_running",
                "render_unconfirmed",
            ),
            "_settings": (
                "Settings",
                "SettingsError",
                "parse_settings",
                "read_settings",
                "split_address",
            ),
            "_store": (
                "KeyedPage",
                "KeyedRecord",
                "Rate",
                "RecordsGoneError",
                "StoreClient",
                "StoreError",
            ),
        },
    )

__all__ = [
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "MAX_NAME_CHARS",
    "ConfigError",
    "Configuration",
    "EndpointCalls",
    "HeartbeatError",
    "JobError",
    "KeyedPage",
    "KeyedRecord",
    "MalformedJobError",
    "Rate",
    "RecordsGoneError",
    "Route",
    "Settings",
    "SettingsError",
    "StoreClient",
    "StoreError",
    "UnsupportedJobError",
    "config_version",
    "cordoned_zone",
    "find_job_name",
    "parse_config",
    "parse_deadline",
    "parse_deregister",
    "parse_heartbeat",
    "parse_job",
    "parse_settings",
    "read_settings",
    "render_absent",
    "render_outcome",
    "render_pending",
    "render_refusal",
    "render_running",
    "render_unconfirmed",
    "split_address",
]
