"""Implements a stand-in model engine for tests, the demo and manual trials.

The engine generates words at a constant rate in a bounded number of slots.
Requests of higher tiers get the slots first and preempt running ones. Answers
are streamed or sent complete; streams can be resumed and cancelled. The engine
reports its load and has faults that a test can set.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
import itertools
import time
from typing import Any
from typing import Final

import anyio
import attrs
import orjson

from figstream import asgi
from figstream import engine_protocol
from figstream import serialization

_BODY_LIMIT_BYTES: Final = 50_000_000
_DEFAULT_TOKENS: Final = 16
_BYTES_PER_TOKEN: Final = 4
_CRASHING_TEXT: Final = b"crash-the-engine"


@attrs.frozen
class EngineOptions:
    """Settings of a stand-in engine; durations in seconds.

    Attributes:
      name: name of the engine.
      models: models that the engine serves.
      slots: requests that run at the same time.
      waiting_limit: requests that may wait for a slot.
      first_token_s: time until the first token.
      between_tokens_s: time from one token to the next.
    """

    name: str
    models: tuple[str, ...]
    slots: int = 16
    waiting_limit: int = 32
    first_token_s: float = 0.02
    between_tokens_s: float = 0.01


@attrs.define
class EngineFaults:
    """Faults of an engine that a test can set.

    Attributes:
      slowdown: factor on every duration.
      break_after_events: number of complete events after which a stream is
        closed in the middle of the next event.
      breaks_left: how many more streams are closed in this way.
      wrong_id: answers with another request's id.
      omit_terminator: ends streams without the terminator.
      refuse: refuses every request before running it.
      forget: answers 404 to requests that resume a stream.
    """

    slowdown: float = 1.0
    break_after_events: int = 0
    breaks_left: int = 0
    wrong_id: bool = False
    omit_terminator: bool = False
    refuse: bool = False
    forget: bool = False


class EngineCrashError(Exception):
    """Raised where a real engine would crash."""


@attrs.define
class _EngineRequest:
    """A request that the engine runs or has waiting for a slot."""

    request_id: str
    model: str
    prompt_tokens: int
    output_tokens: int
    stream: bool
    chat: bool
    tier: int
    number: int
    cancelled: bool = False

    @property
    def rank(self) -> tuple[int, int]:
        """Returns the sort key by which requests get slots, lowest first."""
        return self.tier, self.number


class StandInEngine:
    """A stand-in model engine; `application` is its ASGI entry point."""

    def __init__(
        self,
        options: EngineOptions,
        on_crash: Callable[[], object] | None = None,
    ) -> None:
        """Initializes an idle engine; `on_crash` may end the process."""
        self._on_crash = on_crash
        self.options = options
        self.faults = EngineFaults()
        self.alive = True
        self.received_headers: list[Mapping[str, str]] = []
        self.runs: dict[str, int] = {}
        self.cancelled: list[str] = []
        self.generated_tokens = 0
        self._started = time.time_ns()
        self._arrival_numbers = itertools.count()
        self._active_requests: list[_EngineRequest] = []
        self._requests_by_id: dict[str, _EngineRequest] = {}

    @property
    def load(self) -> engine_protocol.LoadReport:
        """Returns the present load."""
        running = min(len(self._active_requests), self.options.slots)
        waiting = len(self._active_requests) - running
        return engine_protocol.LoadReport(running, waiting, self._started)

    async def application(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one HTTP request."""
        if scope["type"] != "http":
            return
        if not self.alive:
            raise EngineCrashError("the engine has crashed")
        path = scope["path"]
        if path == engine_protocol.LOAD_PATH:
            headers = self._answer_headers("")
            await asgi.send_complete(
                send, 200, headers, serialization.to_json(self.load)
            )
        elif path == "/faults":
            body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
            self.faults = serialization.from_json(body, EngineFaults)
            await self._send_json(send, b"{}")
        elif path.startswith(engine_protocol.CANCEL_PATH):
            self._cancel(path.removeprefix(engine_protocol.CANCEL_PATH))
            await self._send_json(send, b"{}")
        else:
            await self._serve_generation(scope, receive, send)

    async def _send_json(self, send: asgi.Send, body: bytes) -> None:
        headers = [(b"content-type", asgi.JSON)]
        await asgi.send_complete(send, 200, headers, body)

    def _cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)
        if request := self._requests_by_id.get(request_id):
            request.cancelled = True

    async def _serve_generation(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        headers = asgi.headers_of(scope)
        self.received_headers.append(headers)
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        request_id = headers.get(engine_protocol.ID_HEADER, "")
        if self.faults.refuse or self._is_full():
            await self._refuse(send, request_id)
            return
        skip = int(headers.get(engine_protocol.RESUME_HEADER, 0))
        if skip and request_id not in self._requests_by_id:
            await self._refuse(send, request_id)
            return
        if skip and self.faults.forget:
            not_found = self._answer_headers(request_id)
            await asgi.send_complete(send, 404, not_found, b"{}")
            return
        request = self._create_request(headers, scope["path"], body)
        if not skip:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._active_requests.append(request)
        try:
            await self._run(request, skip, body, send)
        finally:
            self._active_requests.remove(request)

    def _is_full(self) -> bool:
        max_active = self.options.slots + self.options.waiting_limit
        return len(self._active_requests) >= max_active

    async def _run(
        self,
        request: _EngineRequest,
        skip: int,
        body: bytes,
        send: asgi.Send,
    ) -> None:
        await self._wait_for_slot(request)
        if _CRASHING_TEXT in body:
            self.alive = False
            if self._on_crash:
                self._on_crash()
            raise EngineCrashError("the request crashed the engine")
        await self._answer(request, skip, send)

    async def _wait_for_slot(self, request: _EngineRequest) -> None:
        """Waits until the request is among the first by rank, one per slot."""
        while not request.cancelled:
            runnable = sorted(self._active_requests, key=lambda item: item.rank)
            if request in runnable[: self.options.slots]:
                return
            await anyio.sleep(self.options.between_tokens_s)

    def _create_request(
        self, headers: Mapping[str, str], path: str, body: bytes
    ) -> _EngineRequest:
        fields: dict[str, Any] = orjson.loads(body)
        request_id = headers.get(engine_protocol.ID_HEADER, "")
        request = _EngineRequest(
            request_id,
            fields.get("model", ""),
            max(1, len(body) // _BYTES_PER_TOKEN),
            fields.get("max_tokens") or _DEFAULT_TOKENS,
            fields.get("stream", False),
            path.endswith("chat/completions"),
            int(headers.get(engine_protocol.TIER_HEADER, 0)),
            next(self._arrival_numbers),
        )
        self._requests_by_id[request_id] = request
        return request

    async def _refuse(self, send: asgi.Send, request_id: str) -> None:
        headers = [
            (b"content-type", asgi.JSON),
            (engine_protocol.NOT_RUN_HEADER.encode(), b"true"),
            *self._answer_headers(request_id),
        ]
        await asgi.send_complete(send, 503, headers, b'{"error":"busy"}')

    def _answer_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        answer_id = "another" if self.faults.wrong_id else request_id
        return [
            (engine_protocol.ID_HEADER.encode(), answer_id.encode()),
            (
                engine_protocol.LOAD_HEADER.encode(),
                self.load.to_header().encode(),
            ),
        ]

    async def _answer(
        self, request: _EngineRequest, skip: int, send: asgi.Send
    ) -> None:
        headers = self._answer_headers(request.request_id)
        if not request.stream:
            words = [word async for word in self._generate_words(request, 0)]
            body = _complete_answer(request, "".join(words))
            headers.append((b"content-type", asgi.JSON))
            await asgi.send_complete(send, 200, headers, body)
            return
        headers.append((b"content-type", asgi.EVENT_STREAM))
        started = False
        sent = itertools.count(1)
        async for word in self._generate_words(request, skip):
            if not started:
                await asgi.send_start(send, 200, headers)
                started = True
            event = _event(request, word)
            broken = self._is_break_due(next(sent))
            sent_data = event[: len(event) // 2] if broken else event
            await asgi.send_body(send, sent_data, more=True)
            if broken:
                raise EngineCrashError(
                    "the stream was closed in the middle of an event"
                )
        if request.cancelled:
            return
        if not started:
            await asgi.send_start(send, 200, headers)
        tail = _usage_event(request)
        if not self.faults.omit_terminator:
            tail += engine_protocol.TERMINATOR
        await asgi.send_body(send, tail, more=False)

    def _is_break_due(self, sent: int) -> bool:
        if sent != self.faults.break_after_events + 1:
            return False
        due = self.faults.breaks_left > 0
        self.faults.breaks_left -= due
        return due

    async def _generate_words(
        self, request: _EngineRequest, skip: int
    ) -> AsyncIterator[str]:
        # Sleeps until absolute times, so that delays do not add up.
        due = time.monotonic() + (
            self.options.first_token_s * self.faults.slowdown
        )
        for number in range(skip, request.output_tokens):
            await anyio.sleep(max(0.0, due - time.monotonic()))
            await self._wait_for_slot(request)
            if request.cancelled:
                return
            self.generated_tokens += 1
            step_s = self.options.between_tokens_s * self.faults.slowdown
            due = max(due, time.monotonic() - step_s) + step_s
            yield f"w{number} "


def _event(request: _EngineRequest, word: str) -> bytes:
    delta = {"delta": {"content": word}} if request.chat else {"text": word}
    chunk = {
        "id": request.request_id,
        "model": request.model,
        "choices": [{"index": 0, **delta}],
    }
    return b"data: " + orjson.dumps(chunk) + engine_protocol.EVENT_END


def _usage(request: _EngineRequest) -> dict[str, int]:
    return {
        "prompt_tokens": request.prompt_tokens,
        "completion_tokens": request.output_tokens,
        "total_tokens": request.prompt_tokens + request.output_tokens,
    }


def _usage_event(request: _EngineRequest) -> bytes:
    chunk = {
        "id": request.request_id,
        "model": request.model,
        "choices": [],
        "usage": _usage(request),
    }
    return b"data: " + orjson.dumps(chunk) + engine_protocol.EVENT_END


def _complete_answer(request: _EngineRequest, text: str) -> bytes:
    message: dict[str, Any] = {"text": text}
    if request.chat:
        message = {"message": {"role": "assistant", "content": text}}
    return orjson.dumps(
        {
            "id": request.request_id,
            "model": request.model,
            "choices": [{"index": 0, **message, "finish_reason": "stop"}],
            "usage": _usage(request),
        }
    )
