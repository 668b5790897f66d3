"""Tests that a non-idempotent request runs at most once, over two daemons.

A second run happens when `RequestPath._serve_claimed` releases the claim
regardless of the run state, or when `RequestPath._serve_with_claim` does not
claim the key.
"""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest

from figstream import demo_stack

pytestmark = pytest.mark.anyio
_REQUESTS = 8


@pytest.fixture
async def stack() -> AsyncIterator[demo_stack.Stack]:
    options = demo_stack.StackOptions(daemons=2)
    async with demo_stack.run_stack(options) as running:
        yield running


async def _book(
    stack: demo_stack.Stack, daemon: int, key: str, bay: int = 1
) -> httpx.Response:
    async with httpx.AsyncClient() as client:
        return await client.post(
            stack.url(daemon) + "/bookings",
            json={"bay": bay},
            headers={
                "authorization": f"Bearer {stack.keys['studio']}",
                "idempotency-key": key,
            },
        )


async def _book_repeatedly(
    stack: demo_stack.Stack, key: str
) -> list[httpx.Response]:
    """Sends the same request concurrently in two rounds, over both daemons."""
    responses: list[httpx.Response] = []

    async def book(daemon: int) -> None:
        responses.append(await _book(stack, daemon, key))

    for _ in range(2):
        async with anyio.create_task_group() as callers:
            for number in range(_REQUESTS // 2):
                callers.start_soon(book, number % 2)
    return responses


async def test_a_call_whose_service_dies_runs_once(
    stack: demo_stack.Stack,
) -> None:
    stack.service.faults.deaths_left = _REQUESTS
    answers = await _book_repeatedly(stack, "k1")
    assert len(stack.service.effects) == 1
    states = {answer.json()["error"]["run_state"] for answer in answers}
    assert states == {"may_have_run"}


async def test_repeats_get_the_first_answer(stack: demo_stack.Stack) -> None:
    first = await _book(stack, 0, "k2")
    assert first.status_code == 200
    answers = await _book_repeatedly(stack, "k2")
    assert {answer.content for answer in answers} == {first.content}
    assert len(stack.service.effects) == 1
    other = await _book(stack, 1, "k2", bay=2)
    assert other.json()["error"]["code"] == "claim_mismatch"


async def test_nothing_runs_unclaimed_and_a_refused_call_stays_free(
    stack: demo_stack.Stack,
) -> None:
    stack.platform.objects.faults.down = True
    refused = await _book(stack, 0, "k3")
    assert refused.json()["error"]["code"] == "claim_unavailable"
    assert refused.json()["error"]["run_state"] == "not_run"
    stack.platform.objects.faults.down = False
    stack.service.faults.refuse = True
    busy = await _book(stack, 0, "k3")
    assert busy.json()["error"]["run_state"] == "not_run"
    assert not stack.service.effects
    stack.service.faults.refuse = False
    assert (await _book(stack, 1, "k3")).status_code == 200
    assert len(stack.service.effects) == 1
