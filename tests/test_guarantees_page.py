"""Tests that the tests and modules named in docs/GUARANTEES.md exist."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parent.parent
_PAGE = (_ROOT / "docs/GUARANTEES.md").read_text()


def test_every_test_named_on_the_page_exists() -> None:
    files = list((_ROOT / "tests").glob("test_*.py"))
    known = {path.stem for path in files}
    for path in files:
        known |= set(re.findall(r"def (test_\w+)", path.read_text()))
    named = set(re.findall(r"\btest_\w+", _PAGE))
    assert named
    assert named <= known


def test_every_module_named_on_the_page_exists() -> None:
    columns = [
        row.split(" | ")[2] for row in _PAGE.splitlines()[7:] if " | " in row
    ]
    named = {name for cell in columns for name in re.findall(r"`(\w+)`", cell)}
    assert named
    assert named <= {path.stem for path in (_ROOT / "figstream").glob("*.py")}
