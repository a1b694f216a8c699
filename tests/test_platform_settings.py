"""What the platform's settings file says about a gateway's host."""

import msgspec
import pytest

from ibishead.platform.settings import MIN_HELD_BYTES, PlatformSettings

SETTINGS = {
    "node_name": "edge-1",
    "ip": "127.0.0.1",
    "zone": "z1",
    "seeds": ["127.0.0.1:1"],
    "port_range": [17380, 17390],
    "listen": {"front": "127.0.0.1:1", "readiness_addr": "127.0.0.1:2"},
}
MB = 1024 * 1024


@pytest.mark.parametrize(
    ("limits", "held"),
    [
        ({}, None),
        ({"memory_mb": None}, None),
        ({"memory_mb": 0}, MIN_HELD_BYTES),
        ({"memory_mb": 100}, MIN_HELD_BYTES),
        ({"memory_mb": 160}, 60 * MB),
        ({"memory_mb": 440}, 270 * MB),
    ],
)
def test_bytes_that_a_gateway_may_hold(limits, held):
    """Without the setting there is no limit; with it, the program itself has room."""
    settings = msgspec.convert({**SETTINGS, "limits": limits}, PlatformSettings)
    assert settings.gateway().held_bytes == held
