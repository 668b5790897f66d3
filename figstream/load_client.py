"""Generates load: sends requests to daemons as callers do.

The load is an open loop with seeded random arrival times, so that a slow
system does not reduce the rate of arrivals. The demo uses this module.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import random
import time
from typing import Final

import anyio
import attrs
import httpx
import orjson

from figstream import engine_protocol
from figstream import inbound

# Longer than the deadline of any request class.
_CLIENT_TIMEOUT_S: Final = 120.0
_LOST_CODE: Final = "connection_lost"


@attrs.frozen
class LoadItem:
    """One request to send.

    Attributes:
      arrival_s: arrival time in seconds after the start of the load.
      url: base address of the daemon.
      key: key of the customer.
      customer: name of the customer.
      request_class: name of the class.
      model: the model.
      tokens: tokens to generate.
      stream: whether to stream the answer.
    """

    arrival_s: float
    url: str
    key: str
    customer: str
    request_class: str
    model: str
    tokens: int
    stream: bool = True


@attrs.frozen
class LoadResult:
    """The result of one request; durations in seconds.

    Attributes:
      item: the request.
      code: error code, or "" if the request was answered.
      run_state: run state that a refusal reported.
      complete: whether the answer is complete and has the id of the request.
      first_byte_s: time to the first byte of the answer.
      token_interval_s: mean time between tokens.
      total_s: time to the end of the answer.
    """

    item: LoadItem
    code: str = ""
    run_state: str = ""
    complete: bool = False
    first_byte_s: float = 0.0
    token_interval_s: float = 0.0
    total_s: float = 0.0


@attrs.frozen
class LoadStream:
    """Requests of one class and customer with a constant mean arrival rate."""

    url: str
    key: str
    customer: str
    request_class: str
    model: str
    rate_per_s: float
    tokens: int
    stream: bool = True


def plan(
    streams: Iterable[LoadStream], duration_s: float, seed: int
) -> Sequence[LoadItem]:
    """Returns the requests of several streams, ordered by arrival time."""
    rng = random.Random(seed)
    items = [
        item
        for stream in streams
        for item in _arrivals(stream, duration_s, rng)
    ]
    return sorted(items, key=lambda item: item.arrival_s)


async def send(items: Sequence[LoadItem]) -> Sequence[LoadResult]:
    """Sends each request at its arrival time; returns all results."""
    results: list[LoadResult] = []
    start = time.monotonic()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
    client = httpx.AsyncClient(timeout=_CLIENT_TIMEOUT_S, limits=limits)

    async def send_one(item: LoadItem, number: int) -> None:
        results.append(await _send_one(client, item, f"load-{number}"))

    async with client, anyio.create_task_group() as group:
        for number, item in enumerate(items):
            await anyio.sleep(
                max(0.0, start + item.arrival_s - time.monotonic())
            )
            group.start_soon(send_one, item, number)
    return results


def _arrivals(
    stream: LoadStream, duration_s: float, rng: random.Random
) -> Iterable[LoadItem]:
    arrival_s = rng.expovariate(stream.rate_per_s)
    while arrival_s < duration_s:
        yield LoadItem(
            arrival_s,
            stream.url,
            stream.key,
            stream.customer,
            stream.request_class,
            stream.model,
            max(1, round(rng.gauss(stream.tokens, stream.tokens / 4))),
            stream.stream,
        )
        arrival_s += rng.expovariate(stream.rate_per_s)


async def _send_one(
    client: httpx.AsyncClient, item: LoadItem, request_id: str
) -> LoadResult:
    start = time.monotonic()
    try:
        async with client.stream(
            "POST",
            item.url + inbound.CHAT_PATH,
            json={
                "model": item.model,
                "max_tokens": item.tokens,
                "stream": item.stream,
                "messages": [{"role": "user", "content": "a" * 200}],
            },
            headers={
                "authorization": f"Bearer {item.key}",
                inbound.CLASS_HEADER: item.request_class,
                inbound.ID_HEADER: request_id,
            },
        ) as response:
            return await _receive(response, item, request_id, start)
    except httpx.TransportError:
        return LoadResult(item, _LOST_CODE, "may_have_run")


async def _receive(
    response: httpx.Response, item: LoadItem, request_id: str, start: float
) -> LoadResult:
    first_byte_at = 0.0
    parts = []
    async for chunk in response.aiter_raw():
        first_byte_at = first_byte_at or time.monotonic()
        parts.append(chunk)
    end = time.monotonic()
    body = b"".join(parts)
    if response.status_code != 200:
        error = orjson.loads(body)["error"]
        return LoadResult(item, error["code"], error["run_state"])
    id_matches = response.headers.get(inbound.ID_HEADER) == request_id
    interval_count = max(1, item.tokens - 1)
    return LoadResult(
        item,
        "" if _is_complete(body, item.stream) else "answer_incomplete",
        complete=id_matches and _is_complete(body, item.stream),
        first_byte_s=first_byte_at - start,
        token_interval_s=(end - first_byte_at) / interval_count
        if item.stream
        else 0.0,
        total_s=end - start,
    )


def _is_complete(body: bytes, stream: bool) -> bool:
    if stream:
        return body.endswith(engine_protocol.TERMINATOR)
    return body.endswith(b"}")
