"""Daemons as processes, with stand-ins of the store and of workers."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import pathlib
import signal

import anyio
import attrs
import httpx

from figstream import http_server
from figstream_platform import callers
from figstream_platform import standin_store
from figstream_platform import standin_worker
from soak import daemons
from tests import gateway_front

STREAM_ROUTE = "rewrite"
# Age of the first plan of software versions from which on streams of the route
# are certainly younger.
PLAN_AGE_S = 4.0


def two_versions(**fields: object) -> list[standin_worker.Worker]:
    """Returns two workers of each of two software versions."""
    return [
        standin_worker.Worker(f"i-{software}-{number}", software, **fields)  # type: ignore[arg-type]
        for software in ("v1", "v2")
        for number in (1, 2)
    ]


def software_by_stream(
    workers: Sequence[standin_worker.Worker],
) -> dict[str, list[str]]:
    """Returns the software that ran each stream, in order of the runs."""
    runs = sorted(
        ((run, worker.software) for worker in workers for run in worker.runs),
        key=lambda item: item[0].at,
    )
    found: dict[str, list[str]] = {}
    for run, software in runs:
        stream = run.headers.get(callers.RESUMES.decode(), run.request_id)
        found.setdefault(stream, []).append(software)
    return found


@attrs.define
class Fleet:
    """Daemons as processes, their store and workers of two versions."""

    store: standin_store.Store
    workers: list[standin_worker.Worker]
    daemons: list[daemons.DaemonProcess]
    client: httpx.AsyncClient
    events: dict[str, int] = attrs.field(factory=dict)

    def register(
        self,
        worker: standin_worker.Worker,
        *,
        slots: int = 32,
        state: str = "ready",
        zone: str = "a",
    ) -> None:
        """Writes the entry of a worker to the store."""
        self.store.put(
            "servers",
            worker.name,
            {
                "service": "llm",
                "address": f"127.0.0.1:{worker.port}",
                "zone": zone,
                "version": worker.software,
                "slots": slots,
                "state": state,
            },
        )

    async def replace(self, daemon: int, tree: pathlib.Path) -> None:
        """Ends a daemon as planned and starts a build in its place."""
        process = self.daemons[daemon]
        process.send(signal.SIGTERM)
        with anyio.fail_after(daemons.GRACE_S + 0.5):
            while process.running:
                await anyio.sleep(0.02)
        process.tree = tree
        await self.start(daemon)

    async def start(self, daemon: int) -> None:
        """Starts a daemon and waits until it serves."""
        self.daemons[daemon].start()
        await self.wait_until_served(daemon)

    async def send(
        self,
        request_id: str,
        daemon: int,
        *,
        route: str = STREAM_ROUTE,
        content: bytes = b"",
        **more: str,
    ) -> httpx.Response | None:
        """Sends a stream; counts its events; returns None if it breaks."""
        headers = {
            "host": gateway_front.HOST,
            "x-request-id": request_id,
            "authorization": f"Bearer {gateway_front.KEY}",
            "accept": "text/event-stream",
            **more,
        }
        port = self.daemons[daemon].ports.front
        url = f"http://127.0.0.1:{port}/{route}/x"
        try:
            async with self.client.stream(
                "POST", url, headers=headers, content=content
            ) as answer:
                async for chunk in answer.aiter_raw():
                    self.events[request_id] = self.events.get(
                        request_id, 0
                    ) + chunk.count(b"id: ")
        except httpx.HTTPError:
            return None
        return answer

    async def take_up(self, stream: str, daemon: int) -> httpx.Response | None:
        """Sends a request that continues a stream after its last event."""
        return await self.send(
            f"again-{stream}",
            daemon,
            **{  # type: ignore[arg-type]
                callers.RESUMES.decode(): stream,
                callers.RESUME_AFTER.decode(): str(self.events[stream]),
            },
        )

    async def wait_until_served(self, *numbers: int) -> None:
        """Waits until each daemon, or each of some, has served a stream."""
        for number in numbers or range(len(self.daemons)):
            answer = None
            with anyio.fail_after(15.0):
                while answer is None or answer.status_code != 200:
                    answer = await self.send(f"first-{number}", number)
                    await anyio.sleep(0.05)


@contextlib.asynccontextmanager
async def fleet(
    folder: pathlib.Path,
    trees: Sequence[pathlib.Path] = (daemons.ROOT, daemons.ROOT),
    *,
    pause_s: float = 0.06,
    evacuate_ms: int = 0,
) -> AsyncIterator[Fleet]:
    """Runs a daemon of each build until the block ends.

    Args:
      folder: folder of settings and logs.
      trees: folders of the builds.
      pause_s: seconds between two events of a stream.
      evacuate_ms: that of the settings, 0 if zones aren't emptied.
    """
    store = standin_store.Store()
    workers = two_versions(pause_s=pause_s, events=6)
    ports = [daemons.make_ports() for _ in trees]
    processes = [
        daemons.DaemonProcess(f"entry-{number}", "a", item, folder, tree)
        for number, (item, tree) in enumerate(zip(ports, trees, strict=True))
    ]
    for process in processes:
        process.times = attrs.evolve(process.times, evacuate_ms=evacuate_ms)
    async with anyio.create_task_group() as group:
        for worker in workers:
            await group.start(worker.serve)
        async with (
            http_server.serve_app(store.application) as port,
            httpx.AsyncClient(timeout=10.0) as client,
        ):
            found = Fleet(store, workers, processes, client)
            store.put("config", "main", gateway_front.manifest_value())
            for worker in workers:
                found.register(worker)
            try:
                for process in processes:
                    process.write_settings(port, [x.peers for x in ports])
                    process.start()
                await found.wait_until_served()
                yield found
            finally:
                for process in processes:
                    process.kill_and_wait()
        group.cancel_scope.cancel()
