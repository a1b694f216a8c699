"""Test of the demo, which is the first command of the README."""

import os
import subprocess
import sys
from pathlib import Path

from tests.processes.programs import ROOT, TIMEOUT_SECONDS


def list_commands(folder: Path) -> list[str]:
    """Return the command lines of all processes that mention a folder."""
    commands = []
    for file in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = file.read_bytes().replace(b"\0", b" ").decode()
        except OSError:
            continue
        if str(folder) in command:
            commands.append(command)
    return commands


def test_demo_succeeds_and_leaves_no_processes_or_files(tmp_path):
    """Guards against a demo that shows no responses or leaves processes or files."""
    environment = os.environ | {
        "BIN": str(Path(sys.executable).parent),
        "PYTHONPATH": str(ROOT / "src"),
        "TMPDIR": str(tmp_path),
    }
    demo = subprocess.run(
        [str(ROOT / "demo" / "run.sh")],
        env=environment,
        capture_output=True,
        text=True,
        timeout=2 * TIMEOUT_SECONDS,
        check=False,
    )
    assert demo.returncode == 0, demo.stdout[-2000:] + demo.stderr[-2000:]
    assert "tisza@v2:trawl:3" in demo.stdout
    assert "The service ran it 1 time(s)." in demo.stdout
    assert "60 calls: {'whole': 60}" in demo.stdout
    assert list_commands(tmp_path) == []
    assert list(tmp_path.iterdir()) == []
