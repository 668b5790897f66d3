"""Stand-ins and processes that the scripts of cases 6 to 10 share.

A small deployment on loopback addresses: gateway daemons as processes, started
with the command of the deploy file; a platform with a store and duties;
workers; links between a machine and a worker; and callers. Only the standard
library is used. Nothing here is imported by the product, its tests or CI.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shots.example"
KEY = "key-of-studio"
TENANT = "studio"
# The grace time, the bounds and the ages that the pages name.
GRACE_S = 8.0
DRAIN_S = 2.0
CONTACT_S = 3.0
LEASE_MS = 3000
WINDOW_S = 5.0
HEARTBEAT_S = 1.2
# An answer of the platform's store takes 4 ms on the sheets.
STORE_ANSWER_S = 0.004
# A page of a list holds "about 500 or 1 MB at most".
PAGE_ITEMS = 500
_LOW_PORT = 20_000
_HIGH_PORT = 30_000

Headers = dict[str, str]


def free_port(host: str = "127.0.0.1") -> int:
    """Returns a port that is free at an address."""
    for _ in range(1000):
        port = random.randrange(_LOW_PORT, _HIGH_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        return port
    raise RuntimeError("no free port")


class Record:
    """The record of a run: what was sent, answered and run.

    Lines bear the time of what they tell; some are added at the end.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Opens `record.txt` in the folder of a case."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.time()

    def add(self, text: str, at: float | None = None) -> None:
        """Adds a line with the seconds since the begin."""
        seconds = (time.time() if at is None else at) - self._began
        self._file.write(f"{seconds:8.3f}  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Adds a line and prints it."""
        self.add(text)
        print(text, flush=True)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    """Returns the first line and the headers, None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, Headers, bytes] | None:
    """Returns method, target, headers and body, None at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    return method, target, head[1], body


def encode_answer(
    status: int, headers: Mapping[str, str], body: bytes, *, framed: bool = True
) -> bytes:
    """Returns an answer, with a length unless it ends with its channel."""
    lines = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join((*lines, "", "")).encode("latin-1") + body


# The platform.


class Store:
    """The platform's store and its duties.

    Attributes:
      changes: called with each change, as kind, name, spec (None if removed).
      duties: what was received at the duties' address.
    """

    def __init__(self) -> None:
        """Initializes an empty store."""
        self.revision = 1
        self.answer_s = STORE_ANSWER_S
        self.page_items = PAGE_ITEMS
        self.era = 1
        self.duties: list[tuple[float, str, str, int, Any]] = []
        self.on_duty: Callable[[str, str, int, Any], None] | None = None
        self.on_list: Callable[[str, str, int], None] | None = None
        self.on_write: Callable[[str, str, str], Awaitable[str]] | None = None
        self._kinds: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._gone_up_to = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object; returns its revision."""
        objects = self._kinds.setdefault(kind, {})
        stored = objects.get(name)
        if stored and stored["spec"] == spec:
            return int(stored["metadata"]["revision"])
        self.revision += 1
        entry = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        objects[name] = entry
        self._note(kind, entry, deleted=False)
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        entry = self._kinds.get(kind, {}).pop(name, None)
        if entry:
            self.revision += 1
            self._note(kind, entry, deleted=True)

    def spec(self, kind: str, name: str) -> Any:
        """Returns the spec of an object, None if there is none."""
        entry = self._kinds.get(kind, {}).get(name)
        return entry["spec"] if entry else None

    async def listen(
        self, host: str, port: int, addresses: Mapping[str, str] | None = None
    ) -> None:
        """Serves one machine.

        Args:
          host: address at which the machine reaches the platform.
          port: port there.
          addresses: near ends of the machine's links to workers, by the
            address of the worker.
        """

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(ConnectionError, OSError):
                while request := await read_request(reader):
                    answer = await self._answer(*request, addresses or {})
                    await asyncio.sleep(self.answer_s)
                    if answer is None:
                        break
                    writer.write(answer)
                    await writer.drain()
            writer.close()

        self._servers.append(
            await asyncio.start_server(serve, host, port, limit=1 << 22)
        )

    async def close(self) -> None:
        """Stops listening."""
        for server in self._servers:
            server.close()

    def _note(self, kind: str, entry: dict[str, Any], *, deleted: bool) -> None:
        self._history.append((self.revision, kind, entry, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        addresses: Mapping[str, str],
    ) -> bytes | None:
        path, _, query_text = target.partition("?")
        query = dict(
            item.partition("=")[::2] for item in query_text.split("&") if item
        )
        if not path.startswith("/-/objects/"):
            return self._receive_duty(path, headers, body)
        kind, _, name = path[len("/-/objects/") :].partition("/")
        if method == "GET" and "watch" in query:
            status, fields = await self._watch(kind, query, addresses)
        elif method == "GET":
            status, fields = self._read(kind, name, query, headers, addresses)
        else:
            status, fields = self._write(method, kind, name, query, body)
        more = {"Content-Type": "application/json"}
        if self.era:
            more["Store-Era"] = str(self.era)
        return encode_answer(status, more, json.dumps(fields).encode())

    def _receive_duty(self, path: str, headers: Headers, body: bytes) -> bytes:
        holder = headers.get("x-lease-holder", "")
        number = int(headers.get("x-fencing-token", "0"))
        fields = json.loads(body)
        self.duties.append((time.time(), path, holder, number, fields))
        if self.on_duty:
            self.on_duty(path, holder, number, fields)
        return encode_answer(200, {"Content-Type": "application/json"}, b"{}")

    def _read(
        self,
        kind: str,
        name: str,
        query: Mapping[str, str],
        headers: Headers,
        addresses: Mapping[str, str],
    ) -> tuple[int, Any]:
        objects = self._kinds.get(kind, {})
        if name:
            found = objects.get(name)
            return (200, found) if found else (404, {})
        names = sorted(x for x in objects if x > query.get("after", ""))
        page = names[: self.page_items]
        if self.on_list:
            caller = headers.get("x-platform-client", "")
            self.on_list(
                caller, f"{kind} after {query.get('after')}", len(page)
            )
        return 200, {
            "items": [_seen(objects[x], addresses) for x in page],
            "hasMore": len(names) > len(page),
            "storeRevision": self.revision,
        }

    async def _watch(
        self, kind: str, query: Mapping[str, str], addresses: Mapping[str, str]
    ) -> tuple[int, Any]:
        since = int(query["watch"])
        if since < self._gone_up_to or since > self.revision:
            return 410, {}
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while not self._events(kind, since, {}):
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)
        events = self._events(kind, since, addresses)
        return 200, {"events": events, "storeRevision": self.revision}

    def _events(
        self, kind: str, since: int, addresses: Mapping[str, str]
    ) -> list[dict[str, Any]]:
        found = []
        for revision, of_kind, entry, deleted in reversed(self._history):
            if revision <= since:
                break
            if of_kind == kind:
                item = {"object": _seen(entry, addresses), "deleted": deleted}
                found.append(item)
        return found[::-1]

    def _write(
        self,
        method: str,
        kind: str,
        name: str,
        query: Mapping[str, str],
        body: bytes,
    ) -> tuple[int, Any]:
        fields = json.loads(body) if body else {}
        metadata = fields.get("metadata") or {}
        name = name or metadata["name"]
        stored = self._kinds.get(kind, {}).get(name)
        if method == "POST":
            if stored:
                return 409, stored
            self.put(kind, name, fields.get("spec"))
            return 201, self._kinds[kind][name]
        if stored is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if (
            expected is not None
            and int(expected) != stored["metadata"]["revision"]
        ):
            return 409, stored
        if method == "DELETE":
            self.remove(kind, name)
            return 200, stored
        self.put(kind, name, fields.get("spec"))
        return 200, self._kinds[kind][name]


def _seen(
    entry: dict[str, Any], addresses: Mapping[str, str]
) -> dict[str, Any]:
    """Returns an entry as a machine sees it, with the ends of its links."""
    spec = entry["spec"]
    if not isinstance(spec, dict) or spec.get("address") not in addresses:
        return entry
    return {**entry, "spec": {**spec, "address": addresses[spec["address"]]}}


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the manifest."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": 5000,
        "sloMs": 1000,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "resumable": kind == "streaming",
        "itlTargetMs": 500,
        **more,
    }


def manifest(
    routes: Iterable[Mapping[str, Any]], version: int = 1
) -> dict[str, Any]:
    """Returns a manifest with the given routes."""
    routes = list(routes)
    services = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": item} for item in services],
        "limits": {},
        "tenants": [{"name": TENANT, "apiKeys": [KEY]}],
    }


def entry(service: str, address: str, zone: str, **more: Any) -> dict[str, Any]:
    """Returns the entry of a worker in the store."""
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "7",
        "slots": 8,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": round(time.time() * 1000),
        **more,
    }


# Workers.


class Worker:
    """A worker; serves on one address and tells what it runs.

    Attributes:
      extra: headers that all its answers have.
      framed: whether its answers have a length.
      parts: into how many parts it divides a plain answer, or the events of a
        stream.
      pause_s: time before each part.
      deadly: part of prompts that crashes the worker's process as it begins to
        write an answer.
    """

    def __init__(
        self, name: str, host: str, on_run: Callable[[str, str], None]
    ) -> None:
        """Initializes a worker that does not serve yet."""
        self.name = name
        self.host = host
        self.port = 0
        self.extra: Headers = {}
        self.framed = True
        self.parts = 1
        self.pause_s = 0.02
        self.deadly = ""
        self._on_run = on_run
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Returns the address as IP:PORT."""
        return f"{self.host}:{self.port}"

    async def listen(self, port: int = 0) -> None:
        """Begins to serve."""
        self._server = await asyncio.start_server(
            self._serve, self.host, port, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def end(self) -> None:
        """Ends as a process does: closes its port and all its channels."""
        if self._server:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                if not await self._answer(request, writer):
                    break
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        request: tuple[str, str, Headers, bytes],
        writer: asyncio.StreamWriter,
    ) -> bool:
        _, target, headers, _ = request
        request_id = headers.get("x-request-id", "")
        common = {
            "X-Request-Id": request_id,
            "X-Instance-Id": self.name,
            "X-Server-Load": "1,0,8",
            "Keep-Alive": "timeout=4",
            **self.extra,
        }
        if headers.get("x-expect-instance") != self.name:
            self._on_run(f"421 {request_id}", target)
            writer.write(encode_answer(421, common, b""))
            await writer.drain()
            return True
        self._on_run(request_id, target)
        common["X-Server-Signature"] = f"{self.name}.{request_id}"
        if "event-stream" in headers.get("accept", ""):
            return await self._stream(headers, common, writer)
        if self.framed:
            await asyncio.sleep(self.pause_s * self.parts)
            body = b"".join(whole_answer(request_id, self.parts))
            writer.write(encode_answer(200, common, body))
            await writer.drain()
            return True
        common["Connection"] = "close"
        writer.write(encode_answer(200, common, b"", framed=False))
        for part in whole_answer(request_id, self.parts):
            await asyncio.sleep(self.pause_s)
            writer.write(part)
            await writer.drain()
        return False

    async def _stream(
        self,
        headers: Headers,
        common: Headers,
        writer: asyncio.StreamWriter,
    ) -> bool:
        common["Content-Type"] = "text/event-stream"
        if self.framed:
            common["Transfer-Encoding"] = "chunked"
        else:
            common["Connection"] = "close"
        writer.write(encode_answer(200, common, b"", framed=False))
        shared = headers.get("x-prefix-hash", "").split(",")[:-1]
        if self.deadly in {item.partition(":")[0] for item in shared}:
            await asyncio.sleep(self.pause_s)
            writer.write(b"id: 1\nda")
            os._exit(1)
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, self.parts + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: {number} of {self.parts}\n\n".encode()
            if self.framed:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(event)
            await writer.drain()
        if self.framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        return self.framed


def whole_answer(request_id: str, parts: int) -> list[bytes]:
    """Returns the parts of a worker's whole answer."""
    return [
        f"part {number} of {parts} for {request_id}\n".encode()
        for number in range(1, parts + 1)
    ]


class WorkerProcess:
    """A worker in a process of its own, which can be killed."""

    def __init__(
        self, name: str, host: str, options: Mapping[str, Any]
    ) -> None:
        """Chooses a port; `start` starts the process."""
        self.name = name
        self.host = host
        self.port = free_port(host)
        self.runs: list[tuple[float, str, str]] = []
        self._options = dict(options)
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Returns the address as IP:PORT."""
        return f"{self.host}:{self.port}"

    @property
    def running(self) -> bool:
        """Returns whether the process runs."""
        return self._process is not None and self._process.poll() is None

    async def start(self) -> None:
        """Starts the process and waits until it serves."""
        fields = {
            "name": self.name,
            "host": self.host,
            "port": self.port,
            **self._options,
        }
        self._process = subprocess.Popen(
            [sys.executable, __file__, json.dumps(fields)],
            stdout=subprocess.PIPE,
        )
        assert self._process.stdout is not None
        loop = asyncio.get_running_loop()
        output = self._process.stdout
        os.set_blocking(output.fileno(), False)
        started = asyncio.Event()
        buffered = b""

        def read() -> None:
            nonlocal buffered
            data = output.read()
            if not data:
                loop.remove_reader(output.fileno())
                return
            *lines, buffered = (buffered + data).split(b"\n")
            for line in lines:
                at, request_id, target = line.decode().split(" ", 2)
                if request_id == "listening":
                    started.set()
                else:
                    self.runs.append((float(at), request_id, target))

        loop.add_reader(output.fileno(), read)
        await asyncio.wait_for(started.wait(), 10)

    def leave(self) -> None:
        """Has the answers say from now on that the worker leaves."""
        if self._process:
            self._process.send_signal(signal.SIGUSR1)

    def kill(self) -> None:
        """Kills the process."""
        if self._process:
            self._process.kill()
            self._process.wait()


async def _run_worker(fields: Mapping[str, Any]) -> None:
    def tell(request_id: str, target: str) -> None:
        line = f"{time.time():.6f} {request_id.replace(' ', '_')} {target}\n"
        os.write(1, line.encode())

    worker = Worker(fields["name"], fields["host"], tell)
    for key in ("framed", "parts", "pause_s", "deadly"):
        if key in fields:
            setattr(worker, key, fields[key])
    leaving = {"Server-Leaving": "1"}
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGUSR1, worker.extra.update, leaving
    )
    await worker.listen(fields["port"])
    os.write(1, f"{time.time():.6f} listening -\n".encode())
    await asyncio.Event().wait()


# Links.


class Link:
    """A link from one machine to one address, which can be cut in silence.

    While it is cut, new channels hang while they open, and open ones hang.
    While the far end does not listen, new channels are refused.
    """

    def __init__(self, host: str, target: str) -> None:
        """Chooses the near end of a link to a target IP:PORT."""
        self.host = host
        self.port = free_port(host)
        self.far_end = target
        target_host, _, target_port = target.rpartition(":")
        self._target = target_host, int(target_port)
        self._passing = asyncio.Event()
        self._passing.set()
        self._server: asyncio.Server | None = None
        self._listens = True
        self._hole: list[socket.socket] = []

    @property
    def address(self) -> str:
        """Returns the near end as IP:PORT."""
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Begins to forward channels."""
        self._server = await asyncio.start_server(
            self._forward, self.host, self.port, reuse_address=True
        )

    def cut(self) -> None:
        """Holds back all data, and lets new channels hang."""
        self._passing.clear()
        if self._server:
            self._server.close()
            self._server = None
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(0)
        self._hole = [listener]
        # These fill the queue; the kernel drops the packets of others.
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self._hole.append(filler)

    async def heal(self) -> None:
        """Forwards again."""
        for item in self._hole:
            item.close()
        self._hole = []
        if self._listens:
            await self.open()
        self._passing.set()

    def refuse(self) -> None:
        """Refuses new channels, since the far end no longer listens."""
        self._listens = False
        if self._server:
            self._server.close()
            self._server = None

    async def accept(self) -> None:
        """Accepts channels, since the far end listens again."""
        self._listens = True
        if not self._hole:
            await self.open()

    def close(self) -> None:
        """Closes the link for good."""
        for item in self._hole:
            item.close()
        if self._server:
            self._server.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            # The far end refuses the channel, and so does the near one.
            _reset(writer)
            return
        await asyncio.gather(
            self._copy(reader, far_writer), self._copy(far_reader, writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                await self._passing.wait()
                writer.write(data)
                await writer.drain()
            await self._passing.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except (ConnectionError, OSError):
            await self._passing.wait()
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        linger = (1).to_bytes(4, sys.byteorder) + bytes(4)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


# Machines.


class Machine:
    """One machine with its daemon, started by the deploy file's command."""

    def __init__(self, name: str, zone: str, number: int) -> None:
        """Chooses addresses and ports; `start` starts the daemon."""
        self.name = name
        self.zone = zone
        self.host = f"127.77.0.{number}"
        self.front = free_port(self.host)
        self.readiness = free_port(self.host)
        self.control = free_port(self.host)
        self.metrics = free_port(self.host)
        self.started_at = 0.0
        self.ended_at: list[float] = []
        self._folder: pathlib.Path | None = None
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Returns whether the daemon runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Returns the id of the daemon's process."""
        return self._process.pid if self._process else 0

    def write_settings(
        self,
        folder: pathlib.Path,
        store: str,
        duties: str,
        seeds: Iterable[str],
    ) -> None:
        """Writes the settings as the template of the deploy file has them."""
        self._folder = folder
        text = f"""\
[vm]
name = {self.name}
zone = {self.zone}
region = ba-central
address = {self.host}
[gateway]
front = {self.host}:{self.front}
readiness = {self.host}:{self.readiness}
metrics_port = {self.metrics}
grace_s = {GRACE_S:g}
[peers]
peers = {self.host}:{self.control}
seeds = {",".join(seeds)}
[platform]
store = {store}
duties = {duties}
lease_ms = {LEASE_MS}
change_ms = 2000
drain_ms = {DRAIN_S * 1000:g}
window_s = {WINDOW_S:g}
[retries]
retry_share = 0.2
retry_burst = 58
[servers]
zone_regions = zone-a:ba-central,zone-b:ba-central,zone-c:ba-central
"""
        (folder / f"{self.name}.ini").write_text(text)

    def start(self) -> None:
        """Starts the daemon."""
        assert self._folder is not None
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["FIGSTREAM_BOOT"] = str(self._folder / f"{self.name}.ini")
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.started_at = time.time()
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "platform/start.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon."""
        if self._process and self.running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the daemon."""
        if self._process and self.running:
            self._process.kill()
            self._process.wait()

    async def is_ready(self) -> bool:
        """Asks for readiness as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.readiness), 1
            )
        except (OSError, TimeoutError):
            return False
        try:
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200" in head[0]
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_until_ready(self, timeout_s: float = 20) -> None:
        """Waits until the daemon says that it is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def log(self) -> str:
        """Returns what the daemon wrote."""
        assert self._folder is not None
        return (self._folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """Three machines, their platform and links."""

    def __init__(self, zones: str = "abc") -> None:
        """Chooses addresses; `start` starts the machines.

        Args:
          zones: letters of the machines' zones.
        """
        self.store = Store()
        self.machines = [
            Machine(f"edge-{letter}-{at + 1}", f"zone-{letter}", at + 1)
            for at, letter in enumerate(zones)
        ]
        self.links: dict[str, list[Link]] = {}
        self.folder = tempfile.TemporaryDirectory(prefix="figstream-case-")

    async def prepare(self, links: Iterable[str] = ()) -> None:
        """Opens the platform and the links, and writes the settings.

        Args:
          links: addresses of workers that each machine reaches by a link of
            its own.
        """
        host = "127.77.2.1"
        seeds = [f"{x.host}:{x.control}" for x in self.machines]
        targets = list(links)
        for machine in self.machines:
            near = {}
            for target in targets:
                link = Link(machine.host, target)
                await link.open()
                self.links.setdefault(machine.name, []).append(link)
                near[target] = link.address
            port = free_port(host)
            await self.store.listen(host, port, near)
            machine.write_settings(
                pathlib.Path(self.folder.name),
                f"{host}:{port}",
                f"{host}:{port}",
                seeds,
            )

    def kill_worker(self, worker: WorkerProcess) -> None:
        """Kills a worker; from then on, links refuse channels to it."""
        worker.kill()
        for link in self._links_to(worker):
            link.refuse()

    async def restart_worker(self, worker: WorkerProcess) -> None:
        """Starts a worker again."""
        await worker.start()
        for link in self._links_to(worker):
            await link.accept()
        self.note_start(worker)

    def note_start(self, worker: WorkerProcess) -> None:
        """Has a worker that has started again write its entry."""
        spec = self.store.spec("servers", worker.name)
        born = round(time.time() * 1000)
        self.store.put("servers", worker.name, {**spec, "born": born})

    def _links_to(self, worker: WorkerProcess) -> list[Link]:
        found = (x for links in self.links.values() for x in links)
        return [x for x in found if x.far_end == worker.address]

    async def start(self) -> None:
        """Starts all machines and waits until they are ready."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.wait_until_ready()

    async def close(self) -> None:
        """Ends all that was started."""
        for machine in self.machines:
            machine.kill()
        for links in self.links.values():
            for link in links:
                link.close()
        await self.store.close()


# Callers.


class Answer:
    """What a caller got.

    Attributes:
      status: status code, 0 if there is none.
      headers: headers of the answer.
      body: the body as far as it arrived.
      complete: whether the answer ended as its head announced.
    """

    def __init__(self) -> None:
        """Initializes without an answer."""
        self.status = 0
        self.headers: Headers = {}
        self.body = b""
        self.complete = False
        self.sent_at = 0.0
        self.ended_at = 0.0


async def call(
    machine: Machine,
    route_name: str,
    request_id: str,
    *,
    method: str = "POST",
    body: bytes = b"{}",
    time_limit_s: float = 5.0,
    more: Mapping[str, str] | None = None,
) -> Answer:
    """Sends one request on a channel of its own."""
    answer = Answer()
    answer.sent_at = time.time()
    try:
        async with asyncio.timeout(time_limit_s + 1.0):
            reader, writer = await asyncio.open_connection(
                machine.host, machine.front
            )
            try:
                writer.write(
                    _encode_request(
                        method, route_name, request_id, body, time_limit_s, more
                    )
                )
                await writer.drain()
                await _read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    answer.ended_at = time.time()
    return answer


def _encode_request(
    method: str,
    route_name: str,
    request_id: str,
    body: bytes,
    time_limit_s: float,
    more: Mapping[str, str] | None,
) -> bytes:
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(round(time_limit_s * 1000)),
        "Authorization": f"Bearer {KEY}",
        "Content-Length": str(len(body)),
        **(more or {}),
    }
    lines = [f"{method} /{route_name}/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, "", "")).encode() + body


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await read_head(reader)
    if head is None:
        return
    answer.status = int(head[0].split(" ")[1])
    answer.headers = head[1]
    if "chunked" in head[1].get("transfer-encoding", ""):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            answer.body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                answer.complete = True
                return
    length = int(head[1].get("content-length", "0"))
    while len(answer.body) < length:
        data = await reader.read(length - len(answer.body))
        if not data:
            return
        answer.body += data
    answer.complete = True


def run_case(
    main: Callable[[pathlib.Path, bool], Awaitable[int]], file: str
) -> None:
    """Runs a case and exits with its result.

    The result is 1 if the rule was broken, 0 if it held, and 2 if the case
    could not run. `TROUBLE=0` leaves the disruption out.
    """
    folder = pathlib.Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        result = asyncio.run(asyncio.wait_for(main(folder, trouble), 115))
    except Exception as error:
        print(f"the case could not run: {type(error).__name__} {error}")
        result = 2
    sys.stdout.flush()
    os._exit(result)


if __name__ == "__main__":
    asyncio.run(_run_worker(json.loads(sys.argv[1])))
