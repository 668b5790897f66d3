"""Fixtures shared by all tests."""

import hypothesis
import pytest

# The same examples in every run, however slow the machine is.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def anyio_backend() -> str:
    """Runs asynchronous tests on asyncio, which grpcio needs."""
    return "asyncio"
