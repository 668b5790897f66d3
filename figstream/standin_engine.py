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
_POISON: Final = b"crash-the-engine"


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
    """

    slowdown: float = 1.0
    break_after_events: int = 0
    breaks_left: int = 0
    wrong_id: bool = False
    omit_terminator: bool = False
    refuse: bool = False


class EngineCrashError(Exception):
    """Raised where a real engine would crash."""


@attrs.define
class _Generation:
    """A request that the engine runs or has waiting for a slot."""

    request_id: str
    model: str
    prompt_tokens: int
    total: int
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
        self.seen_headers: list[Mapping[str, str]] = []
        self.runs: dict[str, int] = {}
        self.cancelled: list[str] = []
        self.generated_tokens = 0
        self._started = time.time_ns()
        self._numbers = itertools.count()
        self._active: list[_Generation] = []
        self._generations: dict[str, _Generation] = {}

    @property
    def load(self) -> engine_protocol.LoadReport:
        """Returns the present load."""
        running = min(len(self._active), self.options.slots)
        waiting = len(self._active) - running
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
            await asgi.send_whole(
                send, 200, headers, serialization.to_json(self.load)
            )
        elif path == "/faults":
            body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
            self.faults = serialization.from_json(body, EngineFaults)
            await self._json(send, b"{}")
        elif path.startswith(engine_protocol.CANCEL_PATH):
            self._cancel(path.removeprefix(engine_protocol.CANCEL_PATH))
            await self._json(send, b"{}")
        else:
            await self._generate(scope, receive, send)

    async def _json(self, send: asgi.Send, body: bytes) -> None:
        headers = [(b"content-type", asgi.JSON)]
        await asgi.send_whole(send, 200, headers, body)

    def _cancel(self, request_id: str) -> None:
        self.cancelled.append(request_id)
        if generation := self._generations.get(request_id):
            generation.cancelled = True

    async def _generate(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        headers = asgi.headers_of(scope)
        self.seen_headers.append(headers)
        body = await asgi.read_body(receive, _BODY_LIMIT_BYTES)
        request_id = headers.get(engine_protocol.ID_HEADER, "")
        if self.faults.refuse or self._is_full():
            await self._refuse(send, request_id)
            return
        skip = int(headers.get(engine_protocol.RESUME_HEADER, 0))
        if skip and request_id not in self._generations:
            await self._refuse(send, request_id)
            return
        generation = self._begin(headers, scope["path"], body)
        if not skip:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
        self._active.append(generation)
        try:
            await self._run(generation, skip, body, send)
        finally:
            self._active.remove(generation)

    def _is_full(self) -> bool:
        most = self.options.slots + self.options.waiting_limit
        return len(self._active) >= most

    async def _run(
        self,
        generation: _Generation,
        skip: int,
        body: bytes,
        send: asgi.Send,
    ) -> None:
        await self._wait_for_slot(generation)
        if _POISON in body:
            self.alive = False
            if self._on_crash:
                self._on_crash()
            raise EngineCrashError("the request crashed the engine")
        await self._answer(generation, skip, send)

    async def _wait_for_slot(self, generation: _Generation) -> None:
        """Waits until the request is among those of highest rank."""
        while not generation.cancelled:
            first = sorted(self._active, key=lambda item: item.rank)
            if generation in first[: self.options.slots]:
                return
            await anyio.sleep(self.options.between_tokens_s)

    def _begin(
        self, headers: Mapping[str, str], path: str, body: bytes
    ) -> _Generation:
        fields: dict[str, Any] = orjson.loads(body)
        request_id = headers.get(engine_protocol.ID_HEADER, "")
        generation = _Generation(
            request_id,
            fields.get("model", ""),
            max(1, len(body) // _BYTES_PER_TOKEN),
            fields.get("max_tokens") or _DEFAULT_TOKENS,
            fields.get("stream", False),
            path.endswith("chat/completions"),
            int(headers.get(engine_protocol.TIER_HEADER, 0)),
            next(self._numbers),
        )
        self._generations[request_id] = generation
        return generation

    async def _refuse(self, send: asgi.Send, request_id: str) -> None:
        headers = [
            (b"content-type", asgi.JSON),
            (engine_protocol.NOT_RUN_HEADER.encode(), b"true"),
            *self._answer_headers(request_id),
        ]
        await asgi.send_whole(send, 503, headers, b'{"error":"busy"}')

    def _answer_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        shown = "another" if self.faults.wrong_id else request_id
        return [
            (engine_protocol.ID_HEADER.encode(), shown.encode()),
            (
                engine_protocol.LOAD_HEADER.encode(),
                self.load.to_header().encode(),
            ),
        ]

    async def _answer(
        self, generation: _Generation, skip: int, send: asgi.Send
    ) -> None:
        headers = self._answer_headers(generation.request_id)
        if not generation.stream:
            words = [word async for word in self._words(generation, 0)]
            body = _whole_answer(generation, "".join(words))
            headers.append((b"content-type", asgi.JSON))
            await asgi.send_whole(send, 200, headers, body)
            return
        headers.append((b"content-type", asgi.EVENT_STREAM))
        started = False
        sent = itertools.count(1)
        async for word in self._words(generation, skip):
            if not started:
                await asgi.send_start(send, 200, headers)
                started = True
            event = _event(generation, word)
            broken = self._is_break_due(next(sent))
            cut = event[: len(event) // 2] if broken else event
            await asgi.send_body(send, cut, more=True)
            if broken:
                raise EngineCrashError(
                    "the stream was closed in the middle of an event"
                )
        if generation.cancelled:
            return
        if not started:
            await asgi.send_start(send, 200, headers)
        tail = _usage_event(generation)
        if not self.faults.omit_terminator:
            tail += engine_protocol.TERMINATOR
        await asgi.send_body(send, tail, more=False)

    def _is_break_due(self, sent: int) -> bool:
        if sent != self.faults.break_after_events + 1:
            return False
        due = self.faults.breaks_left > 0
        self.faults.breaks_left -= due
        return due

    async def _words(
        self, generation: _Generation, skip: int
    ) -> AsyncIterator[str]:
        # Sleeps until absolute times, so that delays do not add up.
        due = time.monotonic() + (
            self.options.first_token_s * self.faults.slowdown
        )
        for number in range(skip, generation.total):
            await anyio.sleep(max(0.0, due - time.monotonic()))
            await self._wait_for_slot(generation)
            if generation.cancelled:
                return
            self.generated_tokens += 1
            step_s = self.options.between_tokens_s * self.faults.slowdown
            due = max(due, time.monotonic() - step_s) + step_s
            yield f"w{number} "


def _event(generation: _Generation, word: str) -> bytes:
    delta = {"delta": {"content": word}} if generation.chat else {"text": word}
    chunk = {
        "id": generation.request_id,
        "model": generation.model,
        "choices": [{"index": 0, **delta}],
    }
    return b"data: " + orjson.dumps(chunk) + engine_protocol.EVENT_END


def _usage(generation: _Generation) -> dict[str, int]:
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.total,
        "total_tokens": generation.prompt_tokens + generation.total,
    }


def _usage_event(generation: _Generation) -> bytes:
    chunk = {
        "id": generation.request_id,
        "model": generation.model,
        "choices": [],
        "usage": _usage(generation),
    }
    return b"data: " + orjson.dumps(chunk) + engine_protocol.EVENT_END


def _whole_answer(generation: _Generation, text: str) -> bytes:
    message: dict[str, Any] = {"text": text}
    if generation.chat:
        message = {"message": {"role": "assistant", "content": text}}
    return orjson.dumps(
        {
            "id": generation.request_id,
            "model": generation.model,
            "choices": [{"index": 0, **message, "finish_reason": "stop"}],
            "usage": _usage(generation),
        }
    )
