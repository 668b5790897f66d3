"""Daemons as processes, with stand-ins of the store and of workers."""

from collections.abc import AsyncIterator
import contextlib
import pathlib

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


def two_versions(**fields: object) -> list[standin_worker.Worker]:
    """Returns two workers of each of two software versions."""
    return [
        standin_worker.Worker(f"i-{software}-{number}", software, **fields)  # type: ignore[arg-type]
        for software in ("v1", "v2")
        for number in (1, 2)
    ]


@attrs.define
class Fleet:
    """Daemons as processes, their store and workers of two versions."""

    store: standin_store.Store
    workers: list[standin_worker.Worker]
    daemons: list[daemons.DaemonProcess]
    client: httpx.AsyncClient
    events: dict[str, int] = attrs.field(factory=dict)

    def register(self, worker: standin_worker.Worker) -> None:
        """Writes the entry of a worker to the store."""
        self.store.put(
            "servers",
            worker.name,
            {
                "service": "llm",
                "address": f"127.0.0.1:{worker.port}",
                "zone": "a",
                "version": worker.software,
                "slots": 32,
                "state": "ready",
            },
        )

    async def send(
        self, request_id: str, daemon: int, **more: str
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
        url = f"http://127.0.0.1:{port}/{STREAM_ROUTE}/x"
        try:
            async with self.client.stream(
                "POST", url, headers=headers
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
            **{
                callers.RESUMES.decode(): stream,
                callers.RESUME_AFTER.decode(): str(self.events[stream]),
            },
        )

    async def wait_until_served(self) -> None:
        """Waits until each daemon has served a stream."""
        for number in range(len(self.daemons)):
            answer = None
            with anyio.fail_after(15.0):
                while answer is None or answer.status_code != 200:
                    answer = await self.send(f"first-{number}", number)
                    await anyio.sleep(0.05)


@contextlib.asynccontextmanager
async def fleet(folder: pathlib.Path) -> AsyncIterator[Fleet]:
    """Runs two daemons until the block ends."""
    store = standin_store.Store()
    workers = two_versions(pause_s=0.06, events=6)
    ports = [daemons.make_ports() for _ in range(2)]
    processes = [
        daemons.DaemonProcess(f"entry-{number}", "a", item, folder)
        for number, item in enumerate(ports)
    ]
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
