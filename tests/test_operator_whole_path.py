"""Tests that changes made by operators take effect on callers' requests."""

from collections.abc import AsyncIterator
import json
from typing import Any

import anyio
import httpx
import pytest
import typer.testing

from figstream import demo_stack
from figstream import inbound
from figstream import main

pytestmark = pytest.mark.anyio

_TIMEOUT_S = 60.0


@pytest.fixture
async def stack() -> AsyncIterator[demo_stack.Stack]:
    async with demo_stack.run_stack(demo_stack.StackOptions()) as running:
        yield running


async def _run_operator_command(stack: demo_stack.Stack, *words: str) -> Any:
    address = stack.daemons[0].operator_address
    line = ("operator", "--address", address, "--json", *words)
    result = await anyio.to_thread.run_sync(
        lambda: typer.testing.CliRunner().invoke(main.app, line)
    )
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


async def _send_request(stack: demo_stack.Stack, daemon: int, key: str) -> int:
    async with httpx.AsyncClient(timeout=30.0) as client:
        answer = await client.post(
            stack.url(daemon) + inbound.CHAT_PATH,
            json={"model": demo_stack.MODEL, "max_tokens": 2},
            headers={
                "authorization": f"Bearer {key}",
                inbound.ID_HEADER: f"asked-{daemon}",
            },
        )
    return answer.status_code


async def _wait_for_status(
    stack: demo_stack.Stack, key: str, status: int
) -> None:
    with anyio.fail_after(_TIMEOUT_S):
        for daemon in range(len(stack.daemons)):
            while await _send_request(stack, daemon, key) != status:
                await anyio.sleep(0.05)


async def test_key_made_and_withdrawn_at_one_daemon_counts_at_all(
    stack: demo_stack.Stack,
) -> None:
    """Fails when `still_valid` ignores the withdrawal of keys."""
    made = await _run_operator_command(stack, "key", "create", "studio")
    await _wait_for_status(stack, made["key"], 200)
    await _run_operator_command(stack, "key", "withdraw", made["key_id"])
    await _wait_for_status(stack, made["key"], 401)
    explained = json.dumps(
        await _run_operator_command(stack, "explain", "asked-2")
    )
    assert '"withdrawn_key"' in explained
    assert '"answered"' in explained
    assert made["key"].rpartition("-")[2] not in explained


async def test_drained_server_gets_no_new_work(
    stack: demo_stack.Stack,
) -> None:
    """Fails when `PoolIndex` includes servers that are not active."""
    await _run_operator_command(stack, "server", "drain", "engine-1")
    with anyio.fail_after(_TIMEOUT_S):
        while any(
            daemon.context.holder.current.generation < 2
            for daemon in stack.daemons
        ):
            await anyio.sleep(0.05)
    key = stack.keys["studio"]
    for number in range(18):
        assert (
            await _send_request(stack, number % len(stack.daemons), key) == 200
        )
    counts = [len(engine.runs) for engine in stack.engines]
    assert counts[1] == 0
    assert counts[0] + counts[2] == 18
