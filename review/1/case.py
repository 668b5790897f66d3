"""Stops a daemon with SIGTERM and reloads it while requests are in flight.

The daemon takes streams and orders in the first seconds after SIGTERM, while
the balancer still sends it channels. All of them end well inside the grace
time. The daemon gets SIGHUP 3 s after SIGTERM.
"""

import asyncio
import pathlib
import signal
import sys
import time

import small_system

_GRACE_S = 8.0
_RELOAD_AFTER_S = 3.0
_STREAMS = 6
_ORDERS = 4
# A stream of ten events takes 4 s, an order 1.2 s.
_EVENTS = 10
_EVENT_S = 0.4
_ORDER_S = 1.2


def _manifest() -> dict[str, object]:
    made = small_system.standin_program.manifest()
    for route in made["routes"]:
        route["timeoutMs"] = 15_000
    return made


async def _play(folder: pathlib.Path, record: small_system.Record) -> int:
    async with small_system.small_system(
        folder, record, manifest=_manifest()
    ) as system:
        await system.start_daemons()
        for name, worker in system.workers.items():
            worker.events = _EVENTS
            worker.pause_s = _EVENT_S if "model" in name else _ORDER_S
        daemon = system.daemons[0]
        port = daemon.ports.front
        daemon.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        record.add(f"SIGTERM to {daemon.name}")
        async with asyncio.TaskGroup() as group:
            streams = [
                group.create_task(_stream(port, number, record))
                for number in range(_STREAMS)
            ]
            orders = [
                group.create_task(_order(port, number, record))
                for number in range(_ORDERS)
            ]
            await asyncio.sleep(_RELOAD_AFTER_S)
            if small_system.TROUBLE:
                daemon.signal(signal.SIGHUP)
                record.add(f"SIGHUP to {daemon.name}")
        answers = [task.result() for task in (*streams, *orders)]
        while daemon.running and time.monotonic() < stopped_at + _GRACE_S:
            await asyncio.sleep(0.05)
        code = daemon.process.poll() if daemon.process else None
        record.add(f"exit code of {daemon.name}: {code}")
        system.record_runs()
        lost = [
            item.request_id
            for item in answers
            if not item.whole
            and item.sent_at
            and system.runs_of(item.request_id)
        ]
        record.add(f"run, and without a complete answer: {lost or 'none'}")
        return small_system.BROKEN if lost else small_system.HELD


async def _stream(
    port: int, number: int, record: small_system.Record
) -> small_system.Answer:
    await asyncio.sleep(0.2 + 0.1 * number)
    return await small_system.send(
        port,
        "/rewrite/x",
        f"stream-{number}",
        record,
        headers={"Accept": "text/event-stream"},
    )


async def _order(
    port: int, number: int, record: small_system.Record
) -> small_system.Answer:
    await asyncio.sleep(2.0 + 0.1 * number)
    return await small_system.send(
        port, "/order/x", f"order-{number}", record, body=b"one order"
    )


if __name__ == "__main__":
    sys.exit(
        small_system.run_case(pathlib.Path(__file__).resolve().parent, _play)
    )
