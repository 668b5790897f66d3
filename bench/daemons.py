"""Measures the control plane of a fleet of daemon processes on loopback.

The benchmark prints how long a configuration change and the withdrawal of a
key take to be active in every daemon, and the cost of an idle fleet: platform
calls, and processor time, bytes and memory per daemon. Fleets of several
sizes show how these grow with the number of daemons and with the size of the
configuration. A second table shows how long a change takes under faults.
"""

from collections.abc import Callable
from collections.abc import Sequence
import pathlib
import tempfile
import time
from typing import Final

import anyio
import attrs
import httpx

from bench import daemon_processes
from figstream import api_key
from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_store
from figstream import customer as customer_lib
from figstream import platform_faults
from figstream import platform_http
from figstream import serialization

_PLATFORM_TIMEOUT_S: Final = 5.0
_START_LIMIT_S: Final = 30.0
_CHANGE_LIMIT_S: Final = 30.0
_SETTLE_S: Final = 4.0
_IDLE_S: Final = 5.0
_POLL_S: Final = 0.02
_CHANGE_COUNT: Final = 5
_UNAUTHORIZED: Final = 401
_MEGABYTE: Final = 1e6
_SLOW_CALL_S: Final = 0.5
_WRITE_KINDS: Final = (
    platform_faults.CallKind.WRITE,
    platform_faults.CallKind.DELETE,
    platform_faults.CallKind.ORDER,
    platform_faults.CallKind.REPORT,
)
_ZONE: Final = "zone-0"


@attrs.frozen
class FleetSize:
    """Numbers of daemons, zones, customers and backend servers of a fleet."""

    daemons: int
    zones: int
    customers: int
    servers: int


@attrs.frozen
class Row:
    """Measurements of one fleet: durations in seconds and per-second rates.

    Attributes:
      size: size of the fleet.
      start_s: time until all daemons had activated the first generation.
      change_s: time until a change was active in all daemons; the longest
        of several changes.
      withdrawal_s: time until all daemons refused a withdrawn key.
      reads_per_s: platform calls of the idle fleet that change nothing.
      writes_per_s: platform calls of the idle fleet that change something.
      core_share: share of a core that an idle daemon uses.
      bytes_per_s: bytes per second that an idle daemon sends.
      resident_mb: memory of the largest daemon.
    """

    size: FleetSize
    start_s: float
    change_s: float
    withdrawal_s: float
    reads_per_s: float
    writes_per_s: float
    core_share: float
    bytes_per_s: float
    resident_mb: float


@attrs.frozen
class PlatformCalls:
    """Numbers of platform calls that read and that change something."""

    reads: int
    writes: int


@attrs.frozen
class ChangeDelay:
    """Seconds until a change was active in all daemons.

    Attributes:
      from_call_s: time since the operator's call.
      from_acceptance_s: time since the answer that accepted the change.
    """

    from_call_s: float
    from_acceptance_s: float


_SIZES: Final = (
    FleetSize(9, 3, 10, 12),
    FleetSize(48, 3, 10, 12),
    FleetSize(9, 3, 700, 920),
)
_FAULTY_FLEET: Final = FleetSize(12, 3, 10, 12)


def _configuration(
    size: FleetSize, key: api_key.KeyRecord
) -> configuration_lib.Configuration:
    names = [f"customer-{index:04}" for index in range(size.customers)]
    return configuration_lib.Configuration(
        customers=tuple(customer_lib.Customer(name) for name in names),
        keys=(key, *(api_key.issue(name).record for name in names)),
        servers=tuple(
            backend_server.BackendServer(
                f"engine-{index:04}",
                f"http://{daemon_processes.HOST}:9",
                f"zone-{index % size.zones}",
                models=(f"model-{index % 10}",),
            )
            for index in range(size.servers)
        ),
    )


class FleetMeasurement:
    """Changes the configuration of one fleet and measures the effects."""

    def __init__(
        self, fleet: daemon_processes.FleetProcesses, size: FleetSize
    ) -> None:
        """Initializes the clients of the stand-in platform and issues a key."""
        self._fleet = fleet
        self._size = size
        self._key = api_key.issue("customer-0000")
        platform = platform_http.make_platform(
            fleet.platform_url, "bench", _PLATFORM_TIMEOUT_S
        )
        self._store = configuration_store.ConfigurationStore(
            platform.objects, clock_lib.SystemClock()
        )
        self._http = httpx.AsyncClient(trust_env=False)
        self._generation = 0
        self._paused: frozenset[str] = frozenset()

    async def run(self) -> Row:
        """Returns all measurements of the fleet without faults."""
        first = _configuration(self._size, self._key.record)
        start = await self._change(lambda _: first, _START_LIMIT_S)
        await anyio.sleep(_SETTLE_S)
        delays = [
            await self._change(
                self._weight_change(index + 2.0), _CHANGE_LIMIT_S
            )
            for index in range(_CHANGE_COUNT)
        ]
        change_s = max(item.from_call_s for item in delays)
        withdrawal_s = await self._withdraw()
        await anyio.sleep(1.0)
        return await self._measure_idle(
            start.from_call_s, change_s, withdrawal_s
        )

    async def run_with_faults(self) -> None:
        """Prints how long a change takes under each fault."""
        first = _configuration(self._size, self._key.record)
        await self._change(lambda _: first, _START_LIMIT_S)
        await anyio.sleep(_SETTLE_S)
        settings = platform_faults.FaultSettings
        zone = [d.name for d in self._fleet.daemons if d.zone == _ZONE]
        for name, faults in (
            ("no fault", settings()),
            ("each watch skips a change", settings(skip_changes=100)),
            ("watches fail", settings(watches_fail=True)),
            ("calls take 0.5 s longer", settings(delay_s=_SLOW_CALL_S)),
            ("zone cut off from platform", settings(blocked_clients={*zone})),
        ):
            await self._set_faults(faults)
            await self._print_change(name)
        await self._set_faults(settings())
        watchers = self._fleet.watchers(_ZONE)
        with self._fleet.pause(watchers):
            self._paused = frozenset(watchers)
            await self._print_change("both watchers of a zone paused")
        self._paused = frozenset()
        resumed_at = time.time()
        await self._wait_until(self._is_active_everywhere, _CHANGE_LIMIT_S)
        seconds = max(self._activation_times()) - resumed_at
        print(f"  {'the two after they were resumed':32}{seconds:8.2f}")

    async def _print_change(self, name: str) -> None:
        change = self._weight_change(time.monotonic())
        delay = await self._change(change, _CHANGE_LIMIT_S)
        print(
            f"  {name:32}{delay.from_call_s:8.2f}"
            f"{delay.from_acceptance_s:18.2f}"
        )

    async def _set_faults(self, faults: platform_faults.FaultSettings) -> None:
        answer = await self._http.put(
            f"{self._fleet.platform_url}/faults",
            content=serialization.to_json(faults),
        )
        answer.raise_for_status()

    def _weight_change(self, weight: float) -> configuration_store.Change:
        def change(
            old: configuration_lib.Configuration,
        ) -> configuration_lib.Configuration:
            first = attrs.evolve(old.customers[0], weight=weight)
            return attrs.evolve(old, customers=(first, *old.customers[1:]))

        return change

    async def _change(
        self, change: configuration_store.Change, limit_s: float
    ) -> ChangeDelay:
        """Applies a change; returns the time until all daemons activated it."""
        started_at = time.time()
        await self._accept(change)
        accepted_at = time.time()
        await self._wait_until(self._is_active_everywhere, limit_s)
        last = max(self._activation_times())
        return ChangeDelay(last - started_at, last - accepted_at)

    def _is_active_everywhere(self) -> bool:
        running = self._size.daemons - len(self._paused)
        return len(self._activation_times()) == running

    def _activation_times(self) -> Sequence[float]:
        found = self._fleet.activation_times(self._generation)
        return [at for name, at in found.items() if name not in self._paused]

    async def _accept(self, change: configuration_store.Change) -> None:
        with anyio.fail_after(_START_LIMIT_S):
            while True:
                outcome = await self._store.accept(change, self._generation)
                if isinstance(outcome, configuration_store.Accepted):
                    self._generation = outcome.generation
                    return
                await anyio.sleep(_POLL_S)

    async def _wait_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> None:
        with anyio.fail_after(limit_s):
            while not condition():
                await anyio.sleep(_POLL_S)

    async def _withdraw(self) -> float:
        """Withdraws the key; returns seconds until every daemon refused it."""

        def change(
            old: configuration_lib.Configuration,
        ) -> configuration_lib.Configuration:
            keys = tuple(
                attrs.evolve(item, withdrawn=True)
                if item.key_id == self._key.record.key_id
                else item
                for item in old.keys
            )
            return attrs.evolve(old, keys=keys)

        for daemon in self._fleet.daemons:
            if await self._is_refused(daemon):
                raise RuntimeError(f"{daemon.name} refuses a valid key")
        started_at = time.monotonic()
        async with anyio.create_task_group() as group:
            group.start_soon(self._accept, change)
            for daemon in self._fleet.daemons:
                group.start_soon(self._wait_for_refusal, daemon)
        return time.monotonic() - started_at

    async def _wait_for_refusal(
        self, daemon: daemon_processes.DaemonPorts
    ) -> None:
        with anyio.fail_after(_CHANGE_LIMIT_S):
            while not await self._is_refused(daemon):
                await anyio.sleep(_POLL_S)

    async def _is_refused(self, daemon: daemon_processes.DaemonPorts) -> bool:
        answer = await self._http.get(
            f"http://{daemon_processes.HOST}:{daemon.caller}/v1/models",
            headers={"authorization": f"Bearer {self._key.text}"},
        )
        return answer.status_code == _UNAUTHORIZED

    async def _measure_idle(
        self, start_s: float, change_s: float, withdrawal_s: float
    ) -> Row:
        calls = await self._count_calls()
        used = self._fleet.usage()
        sent = self._fleet.bytes_sent()
        started_at = time.monotonic()
        await anyio.sleep(_IDLE_S)
        used_after = self._fleet.usage()
        sent_after = self._fleet.bytes_sent()
        elapsed_s = time.monotonic() - started_at
        calls_after = await self._count_calls()
        cpu_s = sum(used_after[name].cpu_s - used[name].cpu_s for name in used)
        largest = max(item.resident_bytes for item in used_after.values())
        daemon_s = elapsed_s * self._size.daemons
        return Row(
            self._size,
            start_s,
            change_s,
            withdrawal_s,
            (calls_after.reads - calls.reads) / elapsed_s,
            (calls_after.writes - calls.writes) / elapsed_s,
            cpu_s / daemon_s,
            (sent_after - sent) / daemon_s,
            largest / _MEGABYTE,
        )

    async def _count_calls(self) -> PlatformCalls:
        answer = await self._http.get(f"{self._fleet.platform_url}/counters")
        calls = answer.json()["calls"]
        writes = sum(calls[kind.value] for kind in _WRITE_KINDS)
        return PlatformCalls(sum(calls.values()) - writes, writes)


async def _measure(directory: pathlib.Path, size: FleetSize) -> Row:
    with daemon_processes.run_fleet(
        directory, size.daemons, size.zones
    ) as fleet:
        return await FleetMeasurement(fleet, size).run()


async def _measure_faults(directory: pathlib.Path, size: FleetSize) -> None:
    with daemon_processes.run_fleet(
        directory, size.daemons, size.zones
    ) as fleet:
        await FleetMeasurement(fleet, size).run_with_faults()


def _print_row(row: Row) -> None:
    size = row.size
    print(
        f"{size.daemons:7}{size.zones:6}{size.customers:10}{size.servers:8}"
        f"{row.start_s:9.1f}{row.change_s:10.2f}{row.withdrawal_s:12.2f}"
        f"{row.reads_per_s:9.1f}{row.writes_per_s:10.2f}{row.core_share:8.2%}"
        f"{row.bytes_per_s:10.0f}{row.resident_mb:9.0f}"
    )


def _print_slopes(small: Row, large: Row) -> None:
    daemons = large.size.daemons - small.size.daemons
    reads = (large.reads_per_s - small.reads_per_s) / daemons
    writes = (large.writes_per_s - small.writes_per_s) / daemons
    core = (large.core_share - small.core_share) / daemons
    sent = (large.bytes_per_s - small.bytes_per_s) / daemons
    memory_mb = (large.resident_mb - small.resident_mb) / daemons
    change = (large.change_s - small.change_s) / daemons
    print(
        f"for each further daemon: {reads:.3f} reads/s, {writes:.4f} writes/s; "
        f"{core:.4%} of a core, {sent:.1f} B/s and {memory_mb:.3f} MB per "
        f"daemon; {change:.4f} s a change"
    )


def main() -> None:
    """Measures fleets of several sizes, then one fleet under faults."""
    print(
        "daemons zones customers servers start s  change s  withdrawal s "
        "reads/s  writes/s    core  B/s sent  largest MB"
    )
    with tempfile.TemporaryDirectory() as name:
        rows = []
        for index, size in enumerate(_SIZES):
            directory = pathlib.Path(name) / str(index)
            rows.append(anyio.run(_measure, directory, size))
            _print_row(rows[-1])
        _print_slopes(rows[0], rows[1])
        print(
            "seconds until a change is\n  in force, 12 daemons"
            "             from call   from acceptance"
        )
        faulty = pathlib.Path(name) / "faults"
        anyio.run(_measure_faults, faulty, _FAULTY_FLEET)
