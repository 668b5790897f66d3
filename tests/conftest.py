"""Configures pytest and hypothesis for all tests.

Tests that KNOWN-RED.txt names in a line `test: ID` are expected to fail. A run
fails if one of them passes, or if no such test was found.
"""

from collections.abc import Sequence
import pathlib
import re

import hypothesis
import pytest

# Every run uses the same examples, without a time limit for slow machines.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")

_KNOWN_RED_PATH = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


@pytest.fixture
def anyio_backend() -> str:
    """Selects asyncio for asynchronous tests, because grpcio needs it."""
    return "asyncio"


def pytest_collection_modifyitems(
    config: pytest.Config, items: Sequence[pytest.Item]
) -> None:
    """Marks the known failures."""
    text = _KNOWN_RED_PATH.read_text()
    known = set(re.findall(r"^\s*test: (\S+)$", text, re.MULTILINE))
    collected = {item.nodeid: item for item in items}
    for name in known & collected.keys():
        collected[name].add_marker(
            pytest.mark.xfail(strict=True, reason="listed in KNOWN-RED.txt")
        )
    missing = known - collected.keys()
    if missing and config.args == config.getini("testpaths"):
        raise pytest.UsageError(
            f"KNOWN-RED.txt names tests that do not exist: {sorted(missing)}"
        )
