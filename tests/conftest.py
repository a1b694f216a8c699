"""Settings that hold for every test: the same verdict each time."""

from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


def _read_known_red(root: Path) -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by the test that each names."""
    path = root / "KNOWN-RED.txt"
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    return {line.split(" | ")[0].strip(): line for line in lines if line.strip()}


def pytest_collection_modifyitems(config, items):
    """Run the tests that are known to be red, and let them pass either way."""
    known = _read_known_red(config.rootpath)
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason=known[item.nodeid], strict=False)
            item.add_marker(mark)


def pytest_terminal_summary(terminalreporter, config):
    """Name the tests that are known to be red."""
    for line in _read_known_red(config.rootpath).values():
        terminalreporter.write_line(f"known red: {line}")
