"""Decodes configurations and keeps the last one.

A configuration is checked when it arrives and used when it takes effect.
Decoding a large one takes milliseconds of processor time.
"""

import loguru

from ferryledge import platform


class ConfigDecoder:
    """Decodes each configuration once."""

    def __init__(self) -> None:
        self._data: bytes | None = None
        self._config: platform.Configuration | None = None

    def decode(self, data: bytes) -> platform.Configuration:
        """Return a decoded configuration.

        :param data: value of the configuration's record
        :raises platform.ConfigError: if the configuration is malformed
        """
        if self._config is None or data != self._data:
            self._config = platform.parse_config(data)
            self._data = data
        return self._config

    def accepts(self, data: bytes) -> bool:
        """Return whether a peer's configuration is valid; log an invalid one.

        :param data: value of the configuration's record
        """
        try:
            self.decode(data)
        except platform.ConfigError as exc:
            loguru.logger.error(
                "configuration of a peer rejected: {}", exc, step="config"
            )
            return False
        return True
