"""Odd values in the settings file."""

import pytest

from ferryledge import platform

_SETTINGS = """
Node = "front-1"
Ip = "127.0.0.1"
Zone = "north"
PortRange = [7720, 7735]
"""


@pytest.mark.parametrize(
    "text",
    [
        _SETTINGS.replace("7720", "99999"),
        _SETTINGS.replace("7720", "0"),
        _SETTINGS.replace("7720", "1" + "0" * 5000),
        "Odd = " + "[" * 5000,
        _SETTINGS + "[Bounds]\nHoldMaxMs = nan\n",
        _SETTINGS + "[Bounds]\nGraceS = inf\n",
        _SETTINGS + "[Limits]\nLinkMbps = -1\n",
        _SETTINGS + '[platform]\nAddress = "10.0.0.9:99999"\n',
        _SETTINGS + '[platform]\nAddress = "[::1:80"\n',
        'app = "10.0.0.9"\n' + _SETTINGS,
    ],
)
def test_odd_setting_is_an_error(text: str) -> None:
    with pytest.raises(platform.SettingsError):
        platform.parse_settings(text)


@pytest.mark.parametrize("port", ["²", "٣", "1" + "0" * 5000, "65536", "-1"])
def test_port_out_of_range_is_an_error(port: str) -> None:
    with pytest.raises(platform.SettingsError):
        platform.split_address(f"10.0.0.9:{port}")
