"""The README's first command answers real requests and leaves nothing behind."""

import os
import subprocess
import sys
from pathlib import Path

from tests.processes.programs import GIVE_UP, ROOT


def list_commands(folder: Path) -> list[str]:
    """Return the command lines that name a folder, of all processes."""
    found = []
    for file in Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = file.read_bytes().replace(b"\0", b" ").decode()
        except OSError:
            continue
        if str(folder) in command:
            found.append(command)
    return found


def test_demo_answers_and_ends_all_it_started(tmp_path):
    """A newcomer runs the demo once; it must show answers and clean up."""
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
        timeout=2 * GIVE_UP,
        check=False,
    )
    assert demo.returncode == 0, demo.stdout[-2000:] + demo.stderr[-2000:]
    assert "tisza@v2:trawl:3" in demo.stdout
    assert "The service ran it 1 time(s)." in demo.stdout
    assert "60 calls: {'whole': 60}" in demo.stdout
    assert list_commands(tmp_path) == []
    assert list(tmp_path.iterdir()) == []
