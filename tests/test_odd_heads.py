"""Tests of answers whose head HTTP does not allow: none reaches a caller."""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
from typing import Final

import anyio
import anyio.abc
import httpcore
import httpx
import hypothesis
from hypothesis import strategies
import pytest

from figstream import head_lines
from figstream import platform_api
from figstream import platform_http
from tests import byte_worker
from tests import gateway_front
from tests import tunnel_parts

_STATUS: Final = b"HTTP/1.1 200 OK\r\n"
_ID: Final = b"x-request-id: r1\r\n"
_SIGNATURE: Final = b"x-server-signature: signed by i-1\r\n"
_BODIES: Final = {
    "order": b"content-length: 6\r\n\r\nanswer",
    "caption": b"content-type: text/event-stream\r\ncontent-length: 17\r\n\r\n"
    b"id: 1\ndata: one\n\n",
}
_CONTROL_BYTES: Final = (*range(32), 127)
# Lines whose field has a name that is none, by what is wrong with it.
_ODD_LINES: Final[Mapping[str, bytes]] = {
    "blank inside": b"x odd: 1\r\n",
    "blank at the end": b"x-odd : 1\r\n",
    "tab at the end": b"x-odd\t: 1\r\n",
    "blank at the start": b" x-odd: 1\r\n",
    "blanks at the start": b" \t x-odd: 1\r\n",
    "only a blank": b" : 1\r\n",
    "no name": b": 1\r\n",
    "no colon": b"x-odd\r\n",
    "blank line": b" \r\n",
    **{
        f"byte {code} at the start": bytes([code]) + b"x-odd: 1\r\n"
        for code in _CONTROL_BYTES
    },
    **{
        f"byte {code} inside": b"x-" + bytes([code]) + b"odd: 1\r\n"
        for code in _CONTROL_BYTES
    },
    **{
        f"byte {code} at the end": b"x-odd" + bytes([code]) + b": 1\r\n"
        for code in _CONTROL_BYTES
    },
    **{
        f"only byte {code}": bytes([code]) + b": 1\r\n"
        for code in _CONTROL_BYTES
    },
}
_NO_STATUSES: Final = ("000", "001", "099", "20", "2000", "")
_ODD_STATUSES: Final = (*_NO_STATUSES, "600", "999")


def _text(before: bytes, after: bytes, route: str) -> bytes:
    """Returns an answer with lines before and after its signature."""
    return _STATUS + _ID + before + _SIGNATURE + after + _BODIES[route]


def _odd_answers(route: str) -> dict[str, bytes]:
    """Returns answers with one odd line, at two places of the head."""
    early = {
        f"{name}, early": _text(line, b"", route)
        for name, line in _ODD_LINES.items()
    }
    late = {
        f"{name}, late": _text(b"", line, route)
        for name, line in _ODD_LINES.items()
    }
    return early | late


class _ScriptedWorker(byte_worker.ByteWorker):
    """A worker that sends the answer that the body of a request names."""

    texts: Mapping[str, bytes] = {}

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            try:
                received = await stream.receive()
            except anyio.EndOfStream:
                # A check whether the worker listens.
                return
            name = received.rpartition(b"\r\n\r\n")[2].decode()
            await stream.send(self.texts[name])


async def _answers(
    texts: Mapping[str, bytes], route: str, way: str
) -> dict[str, httpx.Response]:
    """Returns what callers get for each of the answers of a worker."""
    worker = _ScriptedWorker()
    worker.texts = texts
    found: dict[str, httpx.Response] = {}
    # As many as the gateway sends to one server at once.
    limiter = anyio.CapacityLimiter(8)
    async with (
        tunnel_parts.connector(worker, way) as connector,
        gateway_front.front(worker, connector=connector) as front,
    ):

        async def send(name: str) -> None:
            async with limiter:
                found[name] = await front.send_request(
                    route, "r1", name.encode()
                )

        async with anyio.create_task_group() as group:
            for name in texts:
                group.start_soon(send, name)
    return found


def _statuses(found: Mapping[str, httpx.Response]) -> dict[str, int]:
    return {name: answer.status_code for name, answer in found.items()}


@pytest.mark.anyio
@pytest.mark.parametrize("route", _BODIES)
@pytest.mark.parametrize("way", tunnel_parts.WAYS)
async def test_an_answer_with_an_odd_name_is_not_passed_on(
    route: str, way: str
) -> None:
    texts = _odd_answers(route)
    found = _statuses(await _answers(texts, route, way))
    assert found == dict.fromkeys(texts, 502)


@pytest.mark.anyio
@pytest.mark.parametrize("route", _BODIES)
@pytest.mark.parametrize("way", tunnel_parts.WAYS)
async def test_an_answer_with_an_odd_status_is_not_passed_on(
    route: str, way: str
) -> None:
    texts = {
        status: _text(b"", b"", route).replace(b"200", status.encode(), 1)
        for status in _ODD_STATUSES
    }
    found = await _answers(texts, route, way)
    assert _statuses(found) == dict.fromkeys(texts, 502)


class _ScriptedPlatform(byte_worker.ByteWorker):
    """A platform that answers each call with the same bytes."""

    text = b""

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(self.text)


async def _outcome(
    platform: _ScriptedPlatform, checked: bool
) -> platform_http.CallOutcome:
    """Returns the outcome of a call with or without a check of a lease."""
    client = platform_http.PlatformHttpClient(
        f"http://127.0.0.1:{platform.port}", "entry-1", 2.0
    )
    if checked:
        return await client.call_if_allowed(
            "PUT", "/x", b"", {}, platform_api.always_allowed
        )
    return await client.call("GET", "/x")


@pytest.mark.anyio
@pytest.mark.parametrize("checked", [False, True])
async def test_an_odd_answer_of_the_platform_is_no_answer(
    checked: bool,
) -> None:
    """Fails if a part of a head counts as a body, or as another header.

    Args:
      checked: whether the call is one that is sent only with a lease.
    """
    platform = _ScriptedPlatform()
    texts = _odd_answers("order") | {
        status: _text(b"", b"", "order").replace(b"200", status.encode(), 1)
        for status in _NO_STATUSES
    }
    found = {}
    async with anyio.create_task_group() as group:
        await group.start(platform.serve)
        for name, text in texts.items():
            platform.text = text
            found[name] = type(await _outcome(platform, checked))
        platform.text = _text(b"", b"", "order")
        sound = await _outcome(platform, checked)
        group.cancel_scope.cancel()
    assert found == dict.fromkeys(texts, platform_api.Unknown)
    assert isinstance(sound, platform_http.HttpAnswer)


def _refused(parts: Iterable[bytes]) -> bool:
    """Returns whether the check of lines refuses an answer."""
    lines = head_lines.HeadLines()
    try:
        for part in parts:
            lines.feed(part)
    except httpcore.RemoteProtocolError:
        return True
    return False


@hypothesis.given(
    strategies.sampled_from(
        [b" x: 1\r\n", b"\tx: 1\r\n", b"\nx: 1\r\n", b"x: 1\n", b""]
    ),
    strategies.booleans(),
    strategies.lists(strategies.integers(0, 120), max_size=9),
)
def test_lines_are_checked_however_their_bytes_arrive(
    odd_line: bytes, interim: bool, cuts: list[int]
) -> None:
    """Fails if a check looks beyond the head, or stops before its end.

    Args:
      odd_line: a line of the head that HTTP does not allow, or none.
      interim: whether an interim answer comes first.
      cuts: where the bytes are cut.
    """
    first = b"HTTP/1.1 103 Early Hints\r\nx: 1\r\n\r\n" if interim else b""
    text = first + _STATUS + _ID + odd_line + b"\r\nbody\n\n of\r\n lines"
    ends = sorted({min(cut, len(text)) for cut in cuts} | {0, len(text)})
    parts = [text[a:b] for a, b in itertools.pairwise(ends)]
    assert _refused(parts) == bool(odd_line)
