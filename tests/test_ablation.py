"""Ablation builds start the same programs, and each override still has its target."""

import subprocess
import sys
from pathlib import Path

import pytest
from benchmarks.ablation import disable_mechanism
from benchmarks.without import MECHANISMS

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("mechanism", sorted(MECHANISMS))
def test_every_override_has_a_target(mechanism):
    """Guards against an override without effect because its target was renamed."""
    code = f"import benchmarks.without as w; w.switch_off({mechanism!r})"
    found = subprocess.run(
        [sys.executable, "-c", code],
        cwd=ROOT,
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        check=False,
    )
    assert found.returncode == 0, found.stderr


def test_deploy_file_starts_every_program_without_the_mechanism():
    deploy_file = (ROOT / "deploy" / "system.toml").read_text()
    changed = disable_mechanism("turns", deploy_file)
    assert changed.count("benchmarks/without.py turns ") == 3
    assert changed.replace("benchmarks/without.py turns", "deploy/launch.py") == (
        deploy_file
    )
    with pytest.raises(ValueError, match="unchanged copy"):
        disable_mechanism("turns", changed)
