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
    if settings.store.address and not changed.store.address:
        # The file may be incomplete while it is being written.
        loguru.logger.error(
            "settings not reloaded: the store's address is missing",
            step="reload",
        )
        return settings
    store.set_address(changed.store.address)
    return changed
