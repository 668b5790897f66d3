"""Measures the platform calls and processor time of a claimed request.

Callers arrive at a fixed mean rate with gaps from a seeded generator. Each
claims a new key and stores a short result 20 ms later. The in-memory platform
answers each call after 5 ms.
"""

import random
import time
from typing import Final

import anyio
import attrs

from figstream import claim_journal
from figstream import claim_record
from figstream import claims_api
from figstream import clock as clock_lib
from figstream import metrics
from figstream import platform_memory

_PLATFORM_DELAY_S: Final = 0.005
_REQUEST_S: Final = 0.02
_LOAD_S: Final = 1.0
_LOADS: Final = (
    (1, 50, 2048, 0),
    (1, 500, 2048, 0),
    (1, 500, 256, 0),
    (1, 500, 16, 0),
    (1, 2000, 2048, 0),
    (1, 2000, 16, 0),
    (8, 50, 2048, 0),
    (8, 500, 2048, 0),
    (8, 500, 256, 0),
    (8, 500, 16, 0),
    (1, 500, 256, 300),
    (1, 500, 256, 600),
)


@attrs.define
class _ClaimCounts:
    """Outcomes of the claims of one load and the seconds that each took."""

    won: int = 0
    refused: int = 0
    claim_s: list[float] = attrs.field(factory=list)


async def _run_claim(
    journal: claim_journal.PlatformClaimJournal, key: str, counts: _ClaimCounts
) -> None:
    started_at = time.perf_counter()
    claim = await journal.claim("customer", key, 1)
    counts.claim_s.append(time.perf_counter() - started_at)
    if not isinstance(claim, claims_api.Claimed):
        counts.refused += 1
        return
    counts.won += 1
    await anyio.sleep(_REQUEST_S)
    result = claims_api.StoredResult(200, "application/json", b"x" * 200)
    await journal.complete(claim, result)


async def _write_old_claims(
    store: platform_memory.MemoryObjectStore, ranges: int, records: int
) -> None:
    for key_range in range(ranges if records else 0):
        draft = claim_record.PageDraft(b"")
        kept = claim_record.ResultRecord(200, "application/json", b"x" * 200)
        for number in range(records):
            digest = claim_record.key_digest("old", f"{key_range}-{number}")
            claim_id = f"old-{number}"
            draft.claim(
                claim_record.ClaimRecord(digest, 1, claim_id, time.time())
            )
            draft.complete(digest, claim_id, kept)
        name = claim_record.page_name(key_range)
        await store.write(name, draft.encode(), 0)


async def _measure_load(
    daemons: int, rate: int, ranges: int, records: int
) -> None:
    store = platform_memory.MemoryObjectStore()
    await _write_old_claims(store, ranges, records)
    store.faults.delay_s = _PLATFORM_DELAY_S
    store.reads = store.writes = 0
    rng, counts = random.Random(1), _ClaimCounts()
    async with anyio.create_task_group() as tasks:
        journals = [
            claim_journal.PlatformClaimJournal(
                store,
                clock_lib.SystemClock(),
                f"vm-{number}",
                2.0,
                metrics.make_unexported_metrics(),
                random.Random(number),
                ranges,
            )
            for number in range(daemons)
        ]
        for journal in journals:
            tasks.start_soon(journal.run)
        await anyio.sleep(0.01)
        cpu_at, due_at = time.process_time(), time.perf_counter()
        async with anyio.create_task_group() as callers:
            for number in range(int(rate * _LOAD_S)):
                due_at += rng.expovariate(rate)
                await anyio.sleep(max(0.0, due_at - time.perf_counter()))
                journal = rng.choice(journals)
                callers.start_soon(_run_claim, journal, f"key-{number}", counts)
        cpu_s = time.process_time() - cpu_at
        tasks.cancel_scope.cancel()
    calls = len(counts.claim_s)
    p99_s = sorted(counts.claim_s)[int(calls * 0.99)]
    print(
        f"{daemons:7} {rate:8} {ranges:6} {records:7} "
        f"{store.writes / calls:11.2f} {store.reads / calls:10.2f} "
        f"{cpu_s / calls * 1e6:9.0f} {p99_s * 1e3:9.1f} {counts.refused:7}"
    )


def main() -> None:
    """Prints one row for each load."""
    print(
        "daemons claims/s ranges on page writes/call reads/call "
        "cpu us/call p99 ms refused"
    )
    for row in _LOADS:
        anyio.run(_measure_load, *row)


if __name__ == "__main__":
    main()
