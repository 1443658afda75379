"""Settings files that are read again while a daemon runs."""

import pathlib

import pytest

from ferryledge.hosted import _members
from ferryledge.hosted import _reload
from ferryledge import platform
from ferryledge.platform import standin as platform_standin

_STORE = "10.0.0.9:80"


def _render(store: str = _STORE) -> str:
    return platform_standin.render_settings(
        "n1", "10.0.0.1", "10.0.0.1", 7720, store
    )


@pytest.fixture
def path(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> pathlib.Path:
    """Return the path of the settings file."""
    path = tmp_path / "settings.toml"
    monkeypatch.setenv("FERRYLEDGE_CONFIG", str(path))
    return path


def _reload_settings() -> tuple[platform.Settings, platform.StoreClient]:
    before = platform.parse_settings(_render())
    store = platform.StoreClient(before.store.address)
    return _reload.reload_settings(before, store), store


def test_new_address_of_the_store_is_used(path: pathlib.Path) -> None:
    path.write_text(_render("10.0.0.8:81"))
    settings, store = _reload_settings()
    assert settings.store.address == store._address == "10.0.0.8:81"


# Guards against a settings file that ends a running daemon, or makes it lose
# the store.
@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xff\xfe",
        _render().encode()[:40],
        _render().encode()[: _render().index("[platform]")],
        _render("10.0.0.8:99999").encode(),
        _render("10.0.0.8").encode(),
        _render("[::1:80").encode(),
        _render().replace("7720", "99999").encode(),
        _render().replace("GraceS = 6", "GraceS = nan").encode(),
        b"Odd = " + b"[" * 5000,
        b"Odd = 1" + b"0" * 5000,
    ],
)
def test_odd_settings_file_changes_nothing(
    path: pathlib.Path, content: bytes
) -> None:
    path.write_bytes(content)
    settings, store = _reload_settings()
    assert settings == platform.parse_settings(_render())
    assert store._address == _STORE


def test_malformed_seed_does_not_hide_the_others() -> None:
    """Guards against an odd seed that ends a process at its start."""
    seeds = '["10.0.0.2:80", "odd", "10.0.0.3:99999", "10.0.0.4:80"]'
    text = _render().replace("Seeds = []", f"Seeds = {seeds}")
    settings = platform.parse_settings(text)
    assert _members.seed_hosts(settings) == ["10.0.0.2", "10.0.0.4"]
