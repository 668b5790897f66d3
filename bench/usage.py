"""Measures the cost of usage accounting in bytes and processor time.

Each of up to 410 daemons counts 24 requests per second from customers with
unequal shares. The sealing daemon receives the deltas of all daemons and
seals one usage window. Messages are encoded, compressed and decoded as for
the network, but not sent over it.
"""

from collections.abc import Sequence
import random
import time
from typing import Final
import zlib

import anyio
import attrs

from figstream import clock as clock_lib
from figstream import metrics
from figstream import platform_api
from figstream import platform_memory
from figstream import usage_api
from figstream import usage_codec
from figstream import usage_delta
from figstream import usage_ledger
from figstream import usage_sealing
from figstream.rpc import usage_pb2

_WINDOW_S: Final = 60.0
_START_S: Final = 1_764_806_400.0
_REQUESTS_PER_S: Final = 24
_CLASSES: Final = tuple(f"class-{tier}" for tier in range(5))
_DAEMONS: Final = 410
_CUSTOMERS: Final = 700
_SEED: Final = 5
_METRICS = metrics.make_unexported_metrics()


class _Lease:
    name = "usage"

    def fencing(self) -> int | None:
        return 1


@attrs.frozen
class _WindowCost:
    """Cost of one usage window.

    Attributes:
      delta_bytes: mean size of an encoded delta.
      packed_bytes: mean size of an encoded delta after compression.
      daemon_cpu_s: processor time of one daemon that counts requests.
      sealer_bytes: bytes received by the sealing daemon.
      sealer_cpu_s: processor time of the sealing daemon, including the seal.
      object_bytes: size of the object stored for the window.
    """

    delta_bytes: float
    packed_bytes: float
    daemon_cpu_s: float
    sealer_bytes: int
    sealer_cpu_s: float
    object_bytes: int


def _count_requests(
    daemon: int, customers: int, rng: random.Random
) -> Sequence[usage_pb2.Delta]:
    """Counts one daemon's requests of a window; returns encoded deltas."""
    clock = clock_lib.ManualClock(_START_S)
    run = usage_delta.RunId(f"entry-{daemon:03d}", 1_764_806_400 * 10**9)
    ledger = usage_ledger.make_ledger(run, clock, _METRICS, _WINDOW_S)
    weights = [1 / (rank + 1) for rank in range(customers)]
    requests = int(_REQUESTS_PER_S * _WINDOW_S)
    chosen = rng.choices(range(customers), weights, k=requests)
    for customer in chosen:
        ledger.add(
            usage_api.UsageItem(
                f"customer-{customer:03d}",
                rng.choice(_CLASSES),
                1,
                rng.randint(20, 4000),
                rng.randint(10, 800),
            )
        )
        clock.advance(1 / _REQUESTS_PER_S)
        ledger.cut_if_due()
    ledger.cut()
    return [usage_codec.encode_delta(delta) for delta in ledger.outstanding]


async def _measure_window(daemons: int, customers: int) -> _WindowCost:
    rng = random.Random(_SEED)
    start = time.process_time()
    encoded = [
        delta.SerializeToString()
        for daemon in range(daemons)
        for delta in _count_requests(daemon, customers, rng)
    ]
    compressed = [zlib.compress(body) for body in encoded]
    daemon_cpu_s = (time.process_time() - start) / daemons
    platform = platform_memory.MemoryPlatform()
    clock = clock_lib.ManualClock(_START_S)
    sealing = usage_sealing.UsageSealing(
        _Lease(), platform.interfaces(), clock, _METRICS, _WINDOW_S
    )
    await sealing.step()
    start = time.process_time()
    for body in compressed:
        message = usage_pb2.Delta.FromString(zlib.decompress(body))
        delta = usage_codec.decode_delta(message)
        assert sealing.accept(delta) is usage_sealing.DeltaStatus.HELD
    clock.advance(2 * _WINDOW_S)
    await sealing.step()
    sealer_cpu_s = time.process_time() - start
    names = await platform.objects.list_names("usage/window/")
    assert isinstance(names, list)
    name = names[0]
    found = await platform.objects.read(name)
    assert isinstance(found, platform_api.Found)
    return _WindowCost(
        sum(map(len, encoded)) / len(encoded),
        sum(map(len, compressed)) / len(compressed),
        daemon_cpu_s,
        sum(map(len, compressed)),
        sealer_cpu_s,
        len(found.body),
    )


def main() -> None:
    """Prints the cost by number of daemons and of customers."""
    print(f"window {_WINDOW_S:.0f} s, {_REQUESTS_PER_S} requests/s per daemon")
    print(
        "daemons customers | daemon: delta B  gzip B  sent B/s  CPU %"
        " | sealing: recv KB/s  CPU %  object KB"
    )
    sizes = [
        *((daemons, _CUSTOMERS) for daemons in (9, 100, 205, _DAEMONS)),
        *((_DAEMONS, customers) for customers in (10, 350)),
    ]
    for daemons, customers in sizes:
        cost = anyio.run(_measure_window, daemons, customers)
        interval_s = usage_ledger.delta_interval_s(_WINDOW_S)
        print(
            f"{daemons:7d} {customers:9d} |"
            f" {cost.delta_bytes:14.0f}"
            f" {cost.packed_bytes:7.0f}"
            f" {2 * cost.packed_bytes / interval_s:9.0f}"
            f" {100 * cost.daemon_cpu_s / _WINDOW_S:6.3f} |"
            f" {cost.sealer_bytes / _WINDOW_S / 1000:18.1f}"
            f" {100 * cost.sealer_cpu_s / _WINDOW_S:6.2f}"
            f" {cost.object_bytes / 1000:10.0f}"
        )
