"""Configures pytest and hypothesis for all tests."""

import hypothesis
import pytest

# Every run uses the same examples, without a time limit for slow machines.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def anyio_backend() -> str:
    """Selects asyncio for asynchronous tests, because grpcio needs it."""
    return "asyncio"
