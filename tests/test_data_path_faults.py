"""Tests of the request path under server faults and withdrawn keys."""

from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
from typing import Any

import anyio
import httpx
import pytest

from figstream import demo_stack
from figstream import inbound
from figstream import standin_engine

pytestmark = pytest.mark.anyio

_CASES = json.loads(
    (
        pathlib.Path(__file__).parent.parent / "test-data/bad_requests.json"
    ).read_text()
)


@contextlib.asynccontextmanager
async def _one_engine(
    slots: int = 16,
    first_token_s: float = 0.02,
    between_tokens_s: float = 0.01,
) -> AsyncIterator[tuple[demo_stack.Stack, standin_engine.StandInEngine]]:
    options = standin_engine.EngineOptions(
        "engine-0",
        (demo_stack.MODEL,),
        slots,
        first_token_s=first_token_s,
        between_tokens_s=between_tokens_s,
    )
    wanted = demo_stack.StackOptions(daemons=1, engines=(options,))
    async with demo_stack.run_stack(wanted) as stack:
        yield stack, stack.engines[0]


def _headers(stack: demo_stack.Stack) -> dict[str, str]:
    return {"authorization": f"Bearer {stack.keys['studio']}"}


async def _chat(
    stack: demo_stack.Stack, *, stream: bool = True, content: str = "hello"
) -> httpx.Response:
    async with httpx.AsyncClient(timeout=30.0) as client:
        return await client.post(
            stack.url(0) + inbound.CHAT_PATH,
            json={
                "model": demo_stack.MODEL,
                "stream": stream,
                "max_tokens": 12,
                "messages": [{"role": "user", "content": content}],
            },
            headers=_headers(stack),
        )


def _words(answer: httpx.Response) -> list[str]:
    return [f"w{n} " for n in range(12) if answer.text.count(f'"w{n} "') == 1]


async def test_broken_stream_resumes_without_gap_or_repeat() -> None:
    """Fails if `StreamRelay.flush` relays incomplete events."""
    async with _one_engine() as (stack, engine):
        engine.faults.break_after_events = 5
        engine.faults.breaks_left = 1
        answer = await _chat(stack)
        assert len(_words(answer)) == 12
        for event in answer.text.split("\n\n")[:-2]:
            assert json.loads(event.removeprefix("data: "))["model"]
        assert answer.text.endswith("data: [DONE]\n\n")
        assert sum(engine.runs.values()) == 1


async def test_stream_without_terminator_ends_in_an_error_event() -> None:
    """Fails if `_receive_events` doesn't check that the stream is complete."""
    async with _one_engine() as (stack, engine):
        engine.faults.omit_terminator = True
        answer = await _chat(stack)
        assert "event: error" in answer.text
        assert '"code":"answer_incomplete"' in answer.text
        assert '"run_state":"ran"' in answer.text
        async with httpx.AsyncClient() as client:
            metrics = (await client.get(stack.url(0) + "/metrics")).text
        assert 'kind="wasted"' in metrics


async def test_a_stream_its_engine_forgot_ends_in_an_error_event() -> None:
    """Fails if an error answer to the rest of a stream ends the stream."""
    async with _one_engine() as (stack, engine):
        engine.faults.break_after_events = 5
        engine.faults.breaks_left = 1
        engine.faults.forget = True
        answer = await _chat(stack)
        assert len(_words(answer)) == 5
        assert "event: error" in answer.text


async def test_crossed_answer_never_reaches_the_caller() -> None:
    """Fails if `fault` doesn't compare the request ids."""
    async with _one_engine() as (stack, engine):
        engine.faults.wrong_id = True
        answer = await _chat(stack, stream=False)
        assert answer.status_code >= 500
        assert "choices" not in answer.text
        assert answer.json()["error"]["run_state"] != "not_run"


async def test_a_refusal_of_another_request_proves_nothing() -> None:
    async with _one_engine() as (stack, engine):
        engine.faults.refuse = engine.faults.wrong_id = True
        answer = await _chat(stack, stream=False)
        assert answer.json()["error"]["run_state"] != "not_run"


async def test_refusing_server_is_a_true_not_run() -> None:
    async with _one_engine() as (stack, engine):
        engine.faults.refuse = True
        answer = await _chat(stack, stream=False)
        assert answer.json()["error"]["run_state"] == "not_run"
        assert not engine.runs


async def test_caller_that_goes_away_cancels_at_the_engine() -> None:
    """Fails if `BackendClient.attempt` doesn't cancel at the engine."""
    async with _one_engine(between_tokens_s=0.05) as (stack, engine):
        with anyio.move_on_after(0.3):
            await _chat(stack)
        with anyio.fail_after(10):
            while not engine.cancelled:
                await anyio.sleep(0.01)
        assert engine.cancelled == list(engine.runs)


async def test_queued_request_of_a_withdrawn_key_never_runs() -> None:
    """Fails if `_recheck_dispatched` doesn't check the key again."""
    async with _one_engine(slots=1, first_token_s=600.0) as (stack, engine):
        context = stack.daemons[0].context
        answers: list[httpx.Response] = []

        async def ask(content: str) -> None:
            answers.append(await _chat(stack, content=content))

        async def ask_until(scope: anyio.CancelScope) -> None:
            with scope:
                await ask("first")

        first = anyio.CancelScope()
        async with anyio.create_task_group() as group:
            group.start_soon(ask_until, first)
            while not engine.runs:
                await anyio.sleep(0.01)
            for number in range(20):
                group.start_soon(ask, f"later-{number}")
            while len(context.decisions.latest(99)) < 22:
                await anyio.sleep(0.01)
            await stack.withdraw_key("studio")
            while not any(key.withdrawn for key in context.holder.current.keys):
                await anyio.sleep(0.01)
            first.cancel()
        assert [item.status_code for item in answers] == [401] * 20
        assert len(engine.runs) == 1


@pytest.mark.parametrize("case", _CASES, ids=lambda case: case["name"])
async def test_bad_requests_get_their_code_and_run_nothing(
    case: dict[str, Any],
) -> None:
    async with _one_engine() as (stack, engine):
        headers = {**_headers(stack), **case.get("headers", {})}
        if "filler" in case:
            headers["x-filler"] *= case["filler"]
        if "key" in case:
            headers["authorization"] = case["key"]
        async with httpx.AsyncClient() as client:
            answer = await client.request(
                case.get("method", "POST"),
                stack.url(0) + case.get("path", inbound.CHAT_PATH),
                content=case.get("body", "{}").encode("latin-1")
                * case.get("times", 1),
                headers=headers,
            )
        error = answer.json()["error"]
        assert (answer.status_code, error["code"]) == (
            case["status"],
            case["code"],
        )
        assert error["run_state"] == "not_run"
        assert not engine.runs
        assert not stack.service.effects


async def test_preempted_stream_yields_its_place_and_ends_whole() -> None:
    """Fails if a preempted stream is resumed without being queued again."""
    async with _one_engine(slots=4, between_tokens_s=0.1) as (stack, engine):
        order: list[str] = []

        async def ask(name: str, tokens: int) -> None:
            headers = {**_headers(stack), inbound.CLASS_HEADER: name}
            body = {
                "model": demo_stack.MODEL,
                "stream": True,
                "max_tokens": tokens,
            }
            async with httpx.AsyncClient(timeout=60.0) as client:
                answer = await client.post(
                    stack.url(0) + inbound.CHAT_PATH, json=body, headers=headers
                )
            order.append(name)
            words = [f'"w{number} "' for number in range(tokens)]
            assert [answer.text.count(word) for word in words] == [1] * tokens
            assert answer.text.endswith("data: [DONE]\n\n")

        async with anyio.create_task_group() as group:
            for _ in range(4):
                group.start_soon(ask, "batch", 40)
            while engine.generated_tokens < 8:
                await anyio.sleep(0.01)
            for _ in range(4):
                group.start_soon(ask, "chat", 3)
        assert order == [*["chat"] * 4, *["batch"] * 4]
        records = stack.daemons[0].context.decisions.latest(999)
        dispatched = [item for item in records if item.decision == "dispatched"]
        assert len(dispatched) == 8 + len(engine.cancelled) > 8


async def test_caller_that_leaves_a_claimed_call_gets_its_answer_later() -> (
    None
):
    """Fails if `serve_while_connected` cancels a non-idempotent request."""
    async with _one_engine() as (stack, _):
        stack.service.faults.delay_s = 0.5
        headers = {**_headers(stack), inbound.IDEMPOTENCY_HEADER: "hold-1"}

        async def hold(timeout_s: float) -> httpx.Response:
            async with httpx.AsyncClient(timeout=timeout_s) as client:
                return await client.post(
                    stack.url(0) + "/bookings/hold",
                    content=b"{}",
                    headers=headers,
                )

        with pytest.raises(httpx.ReadTimeout):
            await hold(0.2)
        answer = await hold(30.0)
        while answer.status_code == 409:
            assert answer.json()["error"]["run_state"] == "may_have_run"
            answer = await hold(30.0)
        assert answer.json() == {"service": demo_stack.SERVICE, "effect": 1}
        assert len(stack.service.effects) == 1


async def test_each_refusal_and_retry_is_counted_under_its_reason() -> None:
    async with _one_engine() as (stack, engine):
        engine.faults.break_after_events = 3
        engine.faults.breaks_left = 1
        await _chat(stack)
        async with httpx.AsyncClient() as client:
            await client.get(stack.url(0) + "/nowhere")
            metrics = (await client.get(stack.url(0) + "/metrics")).text
        refused = 'figstream_refusals_total{class="",'
        assert any(
            line.startswith(refused) and 'reason="unknown_route"' in line
            for line in metrics.splitlines()
        )
        assert 'reason="connection_lost"' in metrics
        assert 'figstream_tokens_total{customer="studio",kind="output"' in (
            metrics
        )
        assert "figstream_first_token_seconds_bucket" in metrics


@pytest.mark.parametrize(
    ("method", "status"), [("POST", 204), ("HEAD", 204), ("HEAD", 200)]
)
async def test_an_answer_that_has_no_body_needs_no_length(
    method: str, status: int
) -> None:
    """Fails if an answer without a body counts as incomplete."""
    async with _one_engine() as (stack, _):
        stack.service.faults.no_content = status == 204
        async with httpx.AsyncClient() as client:
            answer = await client.request(
                method, stack.url(0) + "/bookings/x", headers=_headers(stack)
            )
        assert answer.status_code == status
        assert not answer.content
        assert len(stack.service.effects) == 1
