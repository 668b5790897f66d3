"""Tests that streams go on only at the software version that began them."""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import pathlib

import anyio
import attrs
import httpx
import pytest

from figstream import http_server
from figstream_platform import callers
from figstream_platform import standin_store
from figstream_platform import standin_worker
from soak import daemons
from tests import gateway_front

_Fault = standin_worker.Fault
_ROUTE = "rewrite"
_STREAMS = 16


def _workers(**fields: object) -> list[standin_worker.Worker]:
    """Returns two workers of each of two software versions."""
    return [
        standin_worker.Worker(f"i-{software}-{number}", software, **fields)  # type: ignore[arg-type]
        for software in ("v1", "v2")
        for number in (1, 2)
    ]


def _software_by_stream(
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


@pytest.mark.anyio
async def test_a_broken_stream_never_goes_on_at_other_software() -> None:
    """Fails if a daemon chooses among all servers of the service."""
    faults = [_Fault.CUT, _Fault.NONE] * _STREAMS
    workers = _workers(faults=faults)
    async with gateway_front.front(*workers, budget=200.0) as front:
        for number in range(_STREAMS):
            answer = await front.send_request(
                _ROUTE, f"r{number}", str(number).encode()
            )
            assert answer.text.count("id: ") == 3
        ran = _software_by_stream(front.workers)
        assert len(ran) == _STREAMS
        assert all(len(set(software)) == 1 for software in ran.values()), ran


@attrs.define
class _Fleet:
    """Daemons as processes, their store and workers of two versions."""

    store: standin_store.Store
    workers: list[standin_worker.Worker]
    daemons: list[daemons.DaemonProcess]
    client: httpx.AsyncClient
    events: dict[str, int] = attrs.field(factory=dict)

    def register(self, worker: standin_worker.Worker) -> None:
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
        url = f"http://127.0.0.1:{port}/{_ROUTE}/x"
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
        for number in range(len(self.daemons)):
            answer = None
            with anyio.fail_after(15.0):
                while answer is None or answer.status_code != 200:
                    answer = await self.send(f"first-{number}", number)
                    await anyio.sleep(0.05)


@contextlib.asynccontextmanager
async def _fleet(folder: pathlib.Path) -> AsyncIterator[_Fleet]:
    store = standin_store.Store()
    workers = _workers(pause_s=0.06, events=6)
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
            fleet = _Fleet(store, workers, processes, client)
            store.put("config", "main", gateway_front.manifest_value())
            for worker in workers:
                fleet.register(worker)
            try:
                for process in processes:
                    process.write_settings(port, [x.peers for x in ports])
                    process.start()
                await fleet.wait_until_served()
                yield fleet
            finally:
                for process in processes:
                    process.kill_and_wait()
        group.cancel_scope.cancel()


async def _break_streams(fleet: _Fleet) -> list[str]:
    """Begins streams and kills all daemons; returns those that had events."""
    names = [f"r{number}" for number in range(_STREAMS)]
    async with anyio.create_task_group() as group:
        for number, name in enumerate(names):
            group.start_soon(fleet.send, name, number % 2)
        with anyio.fail_after(5.0):
            while any(not fleet.events.get(name) for name in names):
                await anyio.sleep(0.01)
        for process in fleet.daemons:
            process.kill_and_wait()
    return names


@pytest.mark.anyio
async def test_streams_keep_their_software_after_all_daemons_were_killed(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if a daemon that starts can't tell what began a stream."""
    async with _fleet(tmp_path) as fleet:
        streams = await _break_streams(fleet)
        for process in fleet.daemons:
            process.start()
        await fleet.wait_until_served()
        went_on = 0
        for name in streams:
            answer = await fleet.take_up(name, 1)
            went_on += answer is not None and answer.status_code == 200
        ran = _software_by_stream(fleet.workers)
        assert all(len(set(ran[name])) == 1 for name in streams), ran
        assert went_on >= _STREAMS / 2


@pytest.mark.anyio
async def test_streams_of_software_that_left_are_not_joined_with_other_text(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if a take-up is answered by what serves after a release."""
    async with _fleet(tmp_path) as fleet:
        streams = await _break_streams(fleet)
        for worker in fleet.workers:
            if worker.software == "v1":
                fleet.store.remove("servers", worker.name)
        for process in fleet.daemons:
            process.start()
        await fleet.wait_until_served()
        for name in streams:
            await fleet.take_up(name, 1)
        ran = _software_by_stream(fleet.workers)
        assert {ran[name][0] for name in streams} == {"v1", "v2"}
        assert all(len(set(ran[name])) == 1 for name in streams), ran
