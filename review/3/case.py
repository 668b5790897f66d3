"""Kills a daemon that has missed a plan, whose callers resume their streams.

Half of the workers of a service are released. The store loses two answers: that
to the write of the last plan of software versions, and that to one daemon's
watch of the plan. Seconds later that daemon is killed, and its callers take up
their streams at another one.
"""

import asyncio
import pathlib
import re
import sys
import time
from typing import Any

import attrs
import small_system

from figstream import asgi
from figstream import rendezvous
from figstream_platform import standin_store
from figstream_platform import standin_worker

_OLD, _NEW = "2.4.1", "2.5.0"
_WORKERS = 6
# Half of the workers are replaced. The last replacement changes the plan while
# the store loses two answers.
_BEFORE_LOSS, _DURING_LOSS = 2, 1
_GAP_S = 1.1
_DRAIN_S = 2.0
# A stream takes 4 s.
_EVENTS = 16
_EVENT_S = 0.25
_PATIENCE_S = 5.0
_STREAMS = 60
# Time from the last replacement to the first stream that is looked at, and over
# which those begin.
_SETTLE_S = 5.6
_SPREAD_S = 3.0
_RESUME_AFTER_S = 0.4
_PLANS = "figstream-software-plans"
# More streams than this break the rule.
_ALLOWED = 2
_EVENT = re.compile(rb"id: (\d+)\ndata: ([^\n]+)\n\n")


class _Store(standin_store.Store):
    """A store that can lose the answers to one write and one watch.

    As the platform's store does, it has done the write, and returns nothing
    further on the channels.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loses_watch_of = ""
        self.lost: list[str] = []

    async def application(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        caller = asgi.headers_of(scope).get("x-platform-client", "")
        writes = scope.get("method") == "PUT"
        what = f"{'write' if writes else 'watch'} of {caller}"
        started: list[asgi.Message] = []

        async def send_unless_lost(message: asgi.Message) -> None:
            if message["type"] == "http.response.start":
                started.append(message)
                return
            concerned = writes or caller == self.loses_watch_of
            if (
                _PLANS in scope["path"]
                and self.loses_watch_of
                and concerned
                and self._loses(what, started[0], message)
            ):
                self.lost.append(what)
                await asyncio.sleep(3600.0)
            await send(started[0])
            await send(message)

        await super().application(scope, receive, send_unless_lost)

    def _loses(
        self, what: str, start: asgi.Message, body: asgi.Message
    ) -> bool:
        """Returns whether an answer with a change is the one to lose."""
        kind = what.split(" ")[0]
        known = any(item.startswith(kind) for item in self.lost)
        changed = start["status"] == 200 and b'"spec"' in body["body"]
        return changed and not known


@attrs.define
class _Stream:
    """A stream over all tries of its caller: its events by their ids."""

    name: str
    events: dict[int, str] = attrs.field(factory=dict)

    def add(self, body: bytes) -> None:
        """Adds the complete events of an answer."""
        for number, worker in _EVENT.findall(body):
            self.events[int(number)] = worker.decode()

    @property
    def last(self) -> int:
        """Returns the id of the last event, 0 without one."""
        return max(self.events, default=0)


def _manifest() -> dict[str, Any]:
    made = small_system.standin_program.manifest()
    for route in made["routes"]:
        route["timeoutMs"] = 5000
    return made


def _entry(worker: standin_worker.Worker, number: int) -> dict[str, Any]:
    zone = ("zone-a", "zone-b")[number % 2]
    entry = small_system.worker_entry(worker, "model", zone)
    return {**entry, "version": worker.software}


class _Release:
    """Replaces workers one after the other."""

    def __init__(
        self, system: small_system.System, group: asyncio.TaskGroup
    ) -> None:
        self._system = system
        self._group = group
        self._serving: list[asyncio.Task[None]] = []
        self._numbers = iter(range(_WORKERS))

    async def start_worker(self, name: str, software: str, number: int) -> None:
        """Starts a worker and registers it."""
        worker = standin_worker.Worker(name, software=software)
        worker.events, worker.pause_s = _EVENTS, _EVENT_S
        worker.port = small_system.free_ports(1)[0]
        self._serving.append(self._group.create_task(worker.serve()))
        await asyncio.sleep(0.05)
        self._system.workers[name] = worker
        self._system.store.put("servers", name, _entry(worker, number))

    async def replace(self, count: int) -> None:
        """Replaces workers of the old version by workers of the new one."""
        store = self._system.store
        for _ in range(count):
            number = next(self._numbers)
            await self.start_worker(f"new-{number}", _NEW, number)
            name = f"old-{number}"
            entry = {**store.get("servers", name), "state": "draining"}
            store.put("servers", name, entry)
            self._group.create_task(self._remove(name))
            await asyncio.sleep(_GAP_S)

    async def _remove(self, name: str) -> None:
        await asyncio.sleep(_DRAIN_S)
        self._system.store.remove("servers", name)

    def stop(self) -> None:
        """Ends all workers."""
        for task in self._serving:
            task.cancel()


async def _begin(
    system: small_system.System, port: int, other: int, number: int
) -> _Stream:
    """Sends a stream; takes it up at another daemon if it is broken."""
    await asyncio.sleep(_SPREAD_S * number / _STREAMS)
    stream = _Stream(f"stream-{number}")
    headers = {"Accept": "text/event-stream"}
    patient_until = time.monotonic() + _PATIENCE_S
    answer = await small_system.send(
        port,
        "/rewrite/x",
        stream.name,
        system.record,
        limit_s=_PATIENCE_S,
        headers=headers,
    )
    stream.add(answer.body)
    for attempt in range(3):
        if answer.whole and answer.status == 200:
            break
        await asyncio.sleep(_RESUME_AFTER_S)
        left_s = patient_until - time.monotonic()
        if left_s <= 0 or not stream.last:
            break
        answer = await small_system.send(
            other,
            "/rewrite/x",
            f"{stream.name}-again-{attempt}",
            system.record,
            limit_s=left_s,
            headers={
                **headers,
                "Resumes": stream.name,
                "Last-Event-Id": str(stream.last),
            },
        )
        if answer.status == 200:
            stream.add(answer.body)
    return stream


async def _play(folder: pathlib.Path, record: small_system.Record) -> int:
    store = _Store()
    async with (
        small_system.small_system(
            folder, record, daemons=3, manifest=_manifest(), store=store
        ) as system,
        asyncio.TaskGroup() as group,
    ):
        release = _Release(system, group)
        for name in ("model-0", "model-1"):
            store.remove("servers", name)
        for number in range(_WORKERS):
            await release.start_worker(f"old-{number}", _OLD, number)
        await system.start_daemons()
        await asyncio.sleep(3.0)
        # The daemon that writes the plans has each of them anyway.
        names = [item.name for item in system.daemons]
        missing = list(rendezvous.rank("software_plan", names))[-1]
        daemon = system.daemons[names.index(missing)]
        others = [item for item in system.daemons if item is not daemon]
        record.add("the release begins")
        await release.replace(_BEFORE_LOSS)
        if small_system.TROUBLE:
            store.loses_watch_of = missing
            record.add("the store begins to lose answers")
        await release.replace(_DURING_LOSS)
        await asyncio.sleep(_SETTLE_S)
        tasks = [
            asyncio.create_task(
                _begin(
                    system,
                    daemon.ports.front,
                    others[number % 2].ports.front,
                    number,
                )
            )
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(_SPREAD_S + 0.6)
        daemon.end()
        record.add(f"SIGKILL to {missing}; answers lost: {store.lost}")
        streams = [await task for task in tasks]
        release.stop()
        return _judge(system, streams)


def _judge(system: small_system.System, streams: list[_Stream]) -> int:
    system.record_runs()
    software = {x.name: x.software for x in system.workers.values()}
    mixed = []
    for stream in streams:
        parts = {software[name] for name in stream.events.values()}
        if len(parts) > 1:
            mixed.append(stream.name)
    system.record.add(
        f"{len(streams)} streams, with events of two versions: "
        f"{len(mixed)} {mixed}"
    )
    return small_system.BROKEN if len(mixed) > _ALLOWED else small_system.HELD


if __name__ == "__main__":
    sys.exit(
        small_system.run_case(pathlib.Path(__file__).resolve().parent, _play)
    )
