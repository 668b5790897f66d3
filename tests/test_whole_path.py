"""Tests of the complete path from a caller through a daemon to a server."""

from collections.abc import AsyncIterator

import httpx
import pytest

from figstream import demo_stack

pytestmark = pytest.mark.anyio


@pytest.fixture
async def stack() -> AsyncIterator[demo_stack.Stack]:
    async with demo_stack.run_stack(demo_stack.StackOptions()) as running:
        yield running


def _bearer(
    stack: demo_stack.Stack, customer: str = "studio"
) -> dict[str, str]:
    return {"authorization": f"Bearer {stack.keys[customer]}"}


async def _chat(stack: demo_stack.Stack, **fields: object) -> httpx.Response:
    body = {
        "model": demo_stack.MODEL,
        "max_tokens": 5,
        "messages": [],
        **fields,
    }
    async with httpx.AsyncClient() as client:
        return await client.post(
            stack.url(0) + "/v1/chat/completions",
            json=body,
            headers=_bearer(stack),
        )


async def test_whole_and_streamed_answers(stack: demo_stack.Stack) -> None:
    complete = await _chat(stack)
    assert complete.status_code == 200
    content = complete.json()["choices"][0]["message"]["content"]
    assert content == "w0 w1 w2 w3 w4 "
    streamed = await _chat(stack, stream=True)
    assert streamed.status_code == 200
    assert streamed.text.endswith("data: [DONE]\n\n")
    assert streamed.text.count("w") >= 5


async def test_key_never_reaches_a_server(stack: demo_stack.Stack) -> None:
    """Fails if `backend_client` forwards every header."""
    await _chat(stack)
    secret = stack.keys["studio"].rpartition("-")[2]
    seen = [engine.received_headers for engine in stack.engines]
    assert any(seen)
    assert secret not in str(seen)
