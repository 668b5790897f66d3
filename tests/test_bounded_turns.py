"""Tests that no reader keeps the event loop from the other tasks."""

import ssl
import time
from typing import Any

import anyio
import httpcore
import pytest

from figstream import backend_connection
from figstream import bounded_turn
from figstream import logs
from figstream import loop_delay
from figstream import metrics

_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
_CHUNK = b"3\r\n:\n\n\r\n"
_INTERIM = b"HTTP/1.1 102 Processing\r\nserver: a\r\n\r\n"
_COUNT = 2_000


class _FastStream(httpcore.AsyncNetworkStream):
    """A stream whose reads never wait, as if all data had arrived."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        data, self._data = self._data[:max_bytes], self._data[max_bytes:]
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        return None

    async def aclose(self) -> None:
        return None

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return self

    def get_extra_info(self, info: str) -> Any:
        return None


async def _read_all(data: bytes) -> int:
    """Reads an answer; returns the size of its body."""
    connection = backend_connection.Connection(_FastStream(data))
    request = backend_connection.Request(b"GET", b"/", ((b"host", b"x"),), b"")
    await connection.send(request)
    return sum([len(chunk) async for chunk in connection.body()])


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("data", "size", "turns"),
    [
        pytest.param(
            _HEAD + _CHUNK * _COUNT + b"0\r\n\r\n",
            3 * _COUNT,
            _COUNT // bounded_turn.MAX_EVENTS - 1,
            id="chunks",
        ),
        pytest.param(
            _INTERIM * _COUNT + _HEAD + b"0\r\n\r\n",
            0,
            _COUNT // bounded_turn.MAX_EVENTS - 1,
            id="interim answers",
        ),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ncontent-length: 8000000\r\n\r\n"
            + bytes(8_000_000),
            8_000_000,
            8_000_000 // bounded_turn.MAX_BYTES // 2,
            id="bytes",
        ),
    ],
)
async def test_others_run_while_an_answer_is_read(
    data: bytes, size: int, turns: int
) -> None:
    seen = 0

    async def count_turns() -> None:
        nonlocal seen
        while True:
            await anyio.lowlevel.checkpoint()
            seen += 1

    async with anyio.create_task_group() as group:
        group.start_soon(count_turns)
        assert await _read_all(data) == size
        group.cancel_scope.cancel()
    assert seen >= turns


class _Recorded(metrics.Metrics):
    """Instruments that keep the delays."""

    def __init__(self) -> None:
        self.delays: list[float] = []
        self.events: list[str] = []

    def loop_delay(self, seconds: float) -> None:
        self.delays.append(seconds)

    def event(self, name: str, amount: int = 1) -> None:
        self.events.append(name)


def _hold_the_loop() -> None:
    ends_at = time.monotonic() + 2.0 * loop_delay.LOGGED_DELAY_S
    while time.monotonic() < ends_at:
        pass


@pytest.mark.anyio
async def test_a_long_delay_is_logged_with_what_ran(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(logs, "warning", lambda _, **more: lines.append(more))
    recorded = _Recorded()
    async with anyio.create_task_group() as group:
        group.start_soon(loop_delay.LoopDelay(recorded).run)
        await anyio.sleep(0.05)
        _hold_the_loop()
        while not recorded.delays:
            await anyio.sleep(0.01)
        group.cancel_scope.cancel()
    assert max(recorded.delays) >= loop_delay.LOGGED_DELAY_S
    assert recorded.events == ["loop_delayed"]
    [line] = lines
    assert "_hold_the_loop" in str(line["ran"])
