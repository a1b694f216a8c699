"""The guards that `benchmarks.red_runs` takes out stand in the sources."""

import pytest
from benchmarks.red_runs import GUARDS, ROOT


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
def test_guard_stands_once_in_its_file(guard):
    """A guard is never taken out again, as a comment beside it was reworded."""
    text = (ROOT / "src" / "ibishead" / guard.file).read_text()
    assert text.count(guard.old) == 1
