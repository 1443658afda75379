"""Takes over changed settings while a daemon runs."""

import loguru

from ferryledge import platform


def reload_settings(
    settings: platform.Settings, store: platform.StoreClient
) -> platform.Settings:
    """Return the settings as they are now; wrong ones change nothing.

    :param settings: those in force
    :param store: moves to the store's present address
    """
    try:
        changed = platform.read_settings()
    except platform.SettingsError as exc:
        loguru.logger.error("settings kept: {}", exc, step="reload")
        return settings
    store.move(changed.store.address)
    return changed
