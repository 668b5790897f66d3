"""Fixtures shared by all tests."""

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Runs asynchronous tests on asyncio, which grpcio needs."""
    return "asyncio"
