"""Measures the daemon's relay against a plain one, and memory at 500 streams.

The plain relay forwards each token in a separate write through httpx and
hypercorn. The processor time measured is that of the relaying process alone.
"""

import asyncio
from collections.abc import Iterator
from concurrent import futures
import contextlib
import itertools
import statistics
import subprocess
import sys
from typing import Final

import attrs
import psutil

from bench import relay_peers
from figstream import demo_stack

_TARGET_SHARE: Final = 0.5
_TARGET_ADDED_S: Final = 0.010
_ROUNDS: Final = 2
_STREAMS: Final = 50
_MANY_STREAMS: Final = 500
# The planned peak: 2.2 M tokens/s over 410 daemons, 51 ms between tokens.
_PLANNED_STREAMS: Final = 274
_PLANNED_INTERVAL_S: Final = 0.051
_PLANNED_TOKENS: Final = 100
_SHORT_TOKENS: Final = 100
_LONG_TOKENS: Final = 500
_BODY: Final = b'{"model":"%s","stream":true,"max_tokens":%d,"messages":[]}'


@attrs.frozen
class RunResult:
    """Measurements of one run."""

    streams: int
    tokens: int
    cpu_s: float
    between_p95_s: float
    between_p50_s: float
    resident_mb: float
    busy: float


@contextlib.contextmanager
def _run_module(*arguments: str) -> Iterator[tuple[int, str]]:
    """Runs a Python module; yields the process id and first output line."""
    process = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    try:
        assert process.stdout
        yield process.pid, process.stdout.readline().strip()
    finally:
        process.terminate()
        process.wait()


def _make_request(key: str, tokens: int) -> bytes:
    body = _BODY % (demo_stack.MODEL.encode(), tokens)
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n"
        b"authorization: Bearer %s\r\ncontent-type: application/json\r\n"
        b"content-length: %d\r\n\r\n%s" % (key.encode(), len(body), body)
    )


async def _read_all(
    port: int, request: bytes, streams: int
) -> list[list[float]]:
    # The streams start spread out over one second, as callers start theirs at
    # different times.
    return await asyncio.gather(
        *(
            relay_peers.read_stream(port, request, number / streams)
            for number in range(streams)
        )
    )


def measure(
    kind: str,
    streams: int,
    tokens: int,
    interval_s: float = relay_peers.TOKEN_INTERVAL_S,
) -> RunResult:
    """Runs streams through a relay of this kind; returns the measurements."""
    with (
        _run_module("bench.relay_peers", str(interval_s)) as (_, source),
        _run_module("bench.relay_process", kind, source) as (pid, line),
    ):
        port, key = line.split()
        process = psutil.Process(pid)
        before = process.cpu_times()
        times = asyncio.run(
            _read_all(int(port), _make_request(key, tokens), streams)
        )
        after = process.cpu_times()
        resident_mb = process.memory_info().rss / 1e6
    cpu_s = after.user + after.system - before.user - before.system
    received = sum(len(item) for item in times)
    assert received == streams * tokens, received
    gaps = [b - a for item in times for a, b in itertools.pairwise(item)]
    elapsed_s = max(map(max, times)) - min(map(min, times))
    return RunResult(
        streams,
        tokens,
        cpu_s,
        statistics.quantiles(gaps, n=20)[-1],
        statistics.median(gaps),
        resident_mb,
        cpu_s / elapsed_s,
    )


@attrs.frozen
class RelayCost:
    """Processor time of one relay, computed from a short and a long run."""

    per_token_us: float
    per_request_ms: float


def _compute_cost(short: RunResult, long: RunResult) -> RelayCost:
    extra_tokens = (long.tokens - short.tokens) * short.streams
    per_token_s = (long.cpu_s - short.cpu_s) / extra_tokens
    per_request_s = short.cpu_s / short.streams - per_token_s * short.tokens
    return RelayCost(per_token_s * 1e6, per_request_s * 1e3)


def _format_row(name: str, found: RunResult) -> str:
    return (
        f"{name:8}{found.streams:8}{found.tokens:8}"
        f"{found.cpu_s / found.streams / found.tokens * 1e6:12.1f}"
        f"{found.between_p50_s * 1e3:12.1f}{found.between_p95_s * 1e3:12.1f}"
        f"{found.resident_mb:8.0f}{found.busy:8.2f}"
    )


def _measure_cost(name: str) -> tuple[RelayCost, RunResult]:
    short = measure(name, _STREAMS, _SHORT_TOKENS)
    long = measure(name, _STREAMS, _LONG_TOKENS)
    print(_format_row(name, short))
    print(_format_row(name, long))
    return _compute_cost(short, long), long


def _measure_both() -> list[tuple[RelayCost, RunResult]]:
    # Both relays run at the same time, so that the machine's state is the same
    # for both.
    with futures.ThreadPoolExecutor() as pool:
        return list(pool.map(_measure_cost, ("plain", "daemon")))


def main() -> None:
    """Prints the table of runs, and the daemon's figures with their targets."""
    print(
        f"{'relay':8}{'streams':>8}{'tokens':>8}{'us/token':>12}"
        f"{'gap p50 ms':>12}{'gap p95 ms':>12}{'MB':>8}{'cores':>8}"
    )
    pairs = [_measure_both() for _ in range(_ROUNDS)]
    print(_format_row("daemon", measure("daemon", _MANY_STREAMS, _LONG_TOKENS)))
    planned = measure(
        "daemon", _PLANNED_STREAMS, _PLANNED_TOKENS, _PLANNED_INTERVAL_S
    )
    print(_format_row("planned", planned))
    for plain, ours in pairs:
        share = ours[0].per_token_us / plain[0].per_token_us
        added_s = ours[1].between_p95_s - relay_peers.TOKEN_INTERVAL_S
        print(
            f"per token: plain {plain[0].per_token_us:.1f} us, daemon "
            f"{ours[0].per_token_us:.1f} us, share {share:.2f} "
            f"(target at most {_TARGET_SHARE}); per request: plain "
            f"{plain[0].per_request_ms:.2f} ms, daemon "
            f"{ours[0].per_request_ms:.2f} ms; added at p95 "
            f"{added_s * 1e3:.1f} ms (target at most "
            f"{_TARGET_ADDED_S * 1e3:.0f} ms)"
        )


if __name__ == "__main__":
    main()
