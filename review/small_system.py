"""Starts a small deployment on loopback addresses for the cases' scripts.

The daemons are separate processes, started with the command of the deploy
file. The platform's store and the workers are the project's stand-ins, which
run in the process of the script. Callers speak HTTP/1.1 over plain sockets, so
that the script sees each byte and how each channel ends.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import Any

import anyio
import attrs

from figstream import http_server
from figstream_platform import callers
from figstream_platform import program
from figstream_platform import standin_program
from figstream_platform import standin_store
from figstream_platform import standin_worker

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The words of `run` in the deploy file.
COMMAND = ("python3", "platform/start.py")
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Linux gives ports from 32768 on to outgoing connections.
_PORTS = range(20_000, 32_000)
_START_LIMIT_S = 25.0
REMAINING_MS = callers.REMAINING_MS.decode()
_SIGNATURE = standin_worker.SIGNATURE.decode()


class CaseError(Exception):
    """Raised if a case could not run as planned."""


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that are free at the moment."""
    ports: list[int] = []
    source = random.SystemRandom()
    while len(ports) < count:
        port = source.choice(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """The record of a run: what was sent, answered and run, with times."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Begins the record in the folder of a case."""
        self._path = folder / "record.txt"
        self._lines: list[tuple[float, str]] = []
        self.started_at = time.monotonic()

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line; `at` is its monotonic time, the present by default."""
        moment = time.monotonic() if at is None else at
        self._lines.append((moment - self.started_at, text))

    def write(self) -> None:
        """Writes the lines in the order of their times."""
        lines = sorted(self._lines, key=lambda item: item[0])
        text = "".join(f"{at:8.3f} s  {text}\n" for at, text in lines)
        self._path.write_text(text)


@attrs.define
class Answer:
    """What a caller received on the channel of one request.

    Attributes:
      request_id: id of the request.
      sent_at: monotonic time at which its last byte was sent.
      status: status of the answer, 0 without an answer.
      headers: headers of the answer, names in lower case.
      body: received part of the body.
      whole: whether the answer is complete.
      ended_at: monotonic time of the end of the answer or channel.
      end: how the answer ended.
    """

    request_id: str
    sent_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    whole: bool = False
    ended_at: float = 0.0
    end: str = "no answer"

    def describe(self) -> str:
        """Returns a line about the answer."""
        kind = "whole" if self.whole else "not whole"
        signed = self.headers.get(_SIGNATURE, "not signed")
        return (
            f"answer {self.request_id} status={self.status} {kind} "
            f"bytes={len(self.body)} {signed!r} end={self.end}"
        )


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.strip().lower()] = value.strip()
    length = answer.headers.get("content-length")
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            answer.body += data[:-2]
            if size == 0:
                break
    elif length is not None:
        while len(answer.body) < int(length):
            data = await reader.read(int(length) - len(answer.body))
            if not data:
                raise asyncio.IncompleteReadError(b"", None)
            answer.body += data
    else:
        answer.body = await reader.read(-1)
    answer.whole = True
    answer.end = "complete"


async def send(
    port: int,
    path: str,
    request_id: str,
    record: Record,
    *,
    limit_s: float = 15.0,
    method: str = "POST",
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Sends a request on a channel of its own and returns its answer."""
    answer = Answer(request_id)
    lines = {
        "Host": standin_program.HOST,
        "X-Request-Id": request_id,
        "Authorization": f"Bearer {standin_program.KEY}",
        REMAINING_MS: str(int(limit_s * 1000)),
        "Content-Length": str(len(body)),
        **(headers or {}),
    }
    text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    data = f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode() + body
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await writer.drain()
            answer.sent_at = time.monotonic()
            record.add(f"sent {request_id} {method} {path} to port {port}")
            await _read_answer(reader, answer)
    except TimeoutError:
        answer.end = "the caller's time limit passed"
    except (OSError, asyncio.IncompleteReadError) as error:
        answer.end = f"channel ended: {type(error).__name__}"
    finally:
        if writer:
            writer.close()
        answer.ended_at = time.monotonic()
        record.add(answer.describe(), answer.ended_at)
    return answer


@attrs.define
class Daemon:
    """One daemon and its process."""

    name: str
    zone: str
    ports: standin_program.DaemonPorts
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def settings(self) -> pathlib.Path:
        """Returns the path of the settings file."""
        return self.folder / f"{self.name}.ini"

    @property
    def log(self) -> pathlib.Path:
        """Returns the path of the log, which continues over restarts."""
        return self.folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def descriptors(self) -> int:
        """Returns the number of open descriptors of the process."""
        if self.process is None or not self.running:
            return 0
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        with self.log.open("ab") as log_file:
            self.process = subprocess.Popen(
                [sys.executable, *COMMAND[1:]],
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    program.SETTINGS_VARIABLE: str(self.settings),
                },
                stdout=log_file,
                stderr=subprocess.STDOUT,
                cwd=ROOT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.process and self.running:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its exit."""
        if self.process:
            self.process.kill()
            self.process.wait(10.0)

    async def ready(self) -> bool:
        """Returns whether the daemon says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.ports.readiness
            )
        except OSError:
            return False
        try:
            async with asyncio.timeout(1.0):
                writer.write(
                    b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n"
                    b"Connection: close\r\n\r\n"
                )
                line = await reader.readline()
                return b" 200" in line
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


@attrs.define
class System:
    """A store, workers and daemons.

    Attributes:
      store: the stand-in of the platform.
      store_port: port of the store.
      workers: the workers by name.
      daemons: the daemons.
      record: record of the run.
    """

    store: standin_store.Store
    store_port: int
    workers: dict[str, standin_worker.Worker]
    daemons: list[Daemon]
    record: Record

    async def start_daemons(self) -> None:
        """Starts all daemons and waits until they are ready."""
        for daemon in self.daemons:
            daemon.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Waits until all daemons are ready and serve."""
        try:
            with anyio.fail_after(_START_LIMIT_S):
                for number, daemon in enumerate(self.daemons):
                    while not await daemon.ready():
                        await asyncio.sleep(0.1)
                    count = 0
                    while True:
                        count += 1
                        answer = await send(
                            daemon.ports.front,
                            "/status/x",
                            f"warm-{number}-{count}",
                            self.record,
                            method="GET",
                            limit_s=2.0,
                        )
                        if answer.status == 200:
                            break
                        await asyncio.sleep(0.1)
        except TimeoutError as error:
            raise CaseError("the daemons did not become ready") from error

    def record_runs(self) -> None:
        """Adds all runs of the workers to the record."""
        for worker in self.workers.values():
            for run in worker.runs:
                self.record.add(f"{worker.name} runs {run.request_id}", run.at)

    def runs_of(self, request_id: str) -> list[str]:
        """Returns the names of the workers that ran a request, once a run."""
        return [
            worker.name
            for worker in self.workers.values()
            for run in worker.runs
            if run.request_id == request_id
        ]


def worker_entry(
    worker: standin_worker.Worker, service: str, zone: str
) -> dict[str, Any]:
    """Returns the entry that a worker writes to the store."""
    return {
        "service": service,
        "address": f"127.0.0.1:{worker.port}",
        "zone": zone,
        "slots": 8,
        "state": "ready",
        "version": "1",
        "born": 1_700_000_000_000,
        "seq": 1,
    }


@contextlib.asynccontextmanager
async def small_system(
    folder: pathlib.Path,
    record: Record,
    daemons: int = 2,
    manifest: Mapping[str, Any] | None = None,
    store: standin_store.Store | None = None,
) -> AsyncIterator[System]:
    """Runs a store, four workers and daemons that are not started yet.

    Args:
      folder: folder for settings and logs.
      record: record of the run.
      daemons: number of daemons.
      manifest: the manifest, by default that of the stand-in.
      store: the store, by default that of the project.
    """
    store = store or standin_store.Store()
    store.put("config", "main", manifest or standin_program.manifest())
    workers: dict[str, standin_worker.Worker] = {}
    zones = ("zone-a", "zone-b")
    async with anyio.create_task_group() as group:
        server = http_server.HttpServer(store.application, "127.0.0.1", 0, 0.0)
        group.start_soon(server.serve)
        for service in ("model", "render"):
            for number, zone in enumerate(zones):
                worker = standin_worker.Worker(f"{service}-{number}")
                await group.start(worker.serve)
                workers[worker.name] = worker
                entry = worker_entry(worker, service, zone)
                store.put("servers", worker.name, entry)
        ports = [
            standin_program.DaemonPorts(*free_ports(4)) for _ in range(daemons)
        ]
        made = []
        for number, daemon_ports in enumerate(ports):
            daemon = Daemon(
                f"edge-{number + 1}", zones[number % 2], daemon_ports, folder
            )
            daemon.settings.write_text(
                standin_program.make_settings(
                    daemon.name,
                    daemon.zone,
                    daemon_ports,
                    server.port,
                    standin_program.DaemonTimes(),
                    [item.peers for item in ports],
                )
            )
            made.append(daemon)
        system = System(store, server.port, workers, made, record)
        try:
            yield system
        finally:
            for daemon in made:
                daemon.end()
            group.cancel_scope.cancel()


def run_case(
    folder: pathlib.Path,
    play: Callable[[pathlib.Path, Record], Awaitable[int]],
    limit_s: float = 110.0,
) -> int:
    """Plays a case and returns the exit code of its script."""
    record = Record(folder)

    async def play_in_time() -> int:
        with anyio.fail_after(limit_s):
            with tempfile.TemporaryDirectory() as name:
                # A folder for the daemons' logs, if they are to be read.
                kept = os.environ.get("KEEP_LOGS", name)
                return await play(pathlib.Path(kept), record)

    try:
        return asyncio.run(play_in_time())
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        for line in traceback.format_exc().splitlines():
            record.add(line)
        return NOT_RUN
    finally:
        record.write()
