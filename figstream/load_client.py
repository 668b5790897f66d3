"""Generates load: sends requests to daemons as callers do.

The load is an open loop with seeded random arrival times, so that a slow
system does not reduce the rate of arrivals. The demo and the benchmarks use
this module.
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
      at_s: arrival time in seconds after the start of the load.
      url: base address of the daemon.
      key: key of the customer.
      customer: name of the customer.
      request_class: name of the class.
      model: the model.
      tokens: tokens to generate.
      stream: whether to stream the answer.
    """

    at_s: float
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
      whole: whether the answer is complete and has the id of the request.
      first_s: time to the first byte of the answer.
      between_s: mean time between tokens.
      total_s: time to the end of the answer.
    """

    item: LoadItem
    code: str = ""
    run_state: str = ""
    whole: bool = False
    first_s: float = 0.0
    between_s: float = 0.0
    total_s: float = 0.0


@attrs.frozen
class Stream:
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
    streams: Iterable[Stream], duration_s: float, seed: int
) -> Sequence[LoadItem]:
    """Returns the requests of several streams, ordered by arrival time."""
    source = random.Random(seed)
    items = [
        item
        for stream in streams
        for item in _arrivals(stream, duration_s, source)
    ]
    return sorted(items, key=lambda item: item.at_s)


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
            await anyio.sleep(max(0.0, start + item.at_s - time.monotonic()))
            group.start_soon(send_one, item, number)
    return results


def _arrivals(
    stream: Stream, duration_s: float, source: random.Random
) -> Iterable[LoadItem]:
    at_s = source.expovariate(stream.rate_per_s)
    while at_s < duration_s:
        yield LoadItem(
            at_s,
            stream.url,
            stream.key,
            stream.customer,
            stream.request_class,
            stream.model,
            max(1, round(source.gauss(stream.tokens, stream.tokens / 4))),
            stream.stream,
        )
        at_s += source.expovariate(stream.rate_per_s)


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
    first_at = 0.0
    parts = []
    async for chunk in response.aiter_raw():
        first_at = first_at or time.monotonic()
        parts.append(chunk)
    end = time.monotonic()
    body = b"".join(parts)
    if response.status_code != 200:
        error = orjson.loads(body)["error"]
        return LoadResult(item, error["code"], error["run_state"])
    own = response.headers.get(inbound.ID_HEADER) == request_id
    steps = max(1, item.tokens - 1)
    return LoadResult(
        item,
        "" if _is_whole(body, item.stream) else "answer_incomplete",
        whole=own and _is_whole(body, item.stream),
        first_s=first_at - start,
        between_s=(end - first_at) / steps if item.stream else 0.0,
        total_s=end - start,
    )


def _is_whole(body: bytes, stream: bool) -> bool:
    if stream:
        return body.endswith(engine_protocol.TERMINATOR)
    return body.endswith(b"}")
