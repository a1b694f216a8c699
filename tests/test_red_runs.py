"""The guards that `benchmarks.red_runs` removes exist in the sources."""

import pytest
from benchmarks.red_runs import GUARDS, ROOT


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: guard.name)
def test_guard_occurs_once_in_its_file(guard):
    """Guards against a guard whose text was reworded, so that it can't be removed."""
    text = (ROOT / "src" / "ibishead" / guard.file).read_text()
    assert text.count(guard.old) == 1
