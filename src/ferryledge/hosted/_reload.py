"""Reloads the settings of a running daemon."""

import loguru

from ferryledge import platform


def reload_settings(
    settings: platform.Settings, store: platform.StoreClient
) -> platform.Settings:
    """Return the reloaded settings, or the old ones if they are invalid.

    :param settings: the settings in force
    :param store: is moved to the store's address in the new settings
    """
    try:
        changed = platform.read_settings()
    except platform.SettingsError as exc:
        loguru.logger.error("settings not reloaded: {}", exc, step="reload")
        return settings
    store.set_address(changed.store.address)
    return changed
