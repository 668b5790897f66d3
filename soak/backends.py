"""Runs the stand-ins of workers and store that the daemons of a soak use.

Changes that an operator would make, such as draining a worker or removing a
key, are written to the store here.
"""

import time
from typing import Final

import anyio
import anyio.abc
import attrs

from figstream_platform import standin_program
from figstream_platform import standin_store
from figstream_platform import standin_worker
from soak import links

SERVICES: Final = ("model", "render")
ZONES: Final = ("a", "b", "c")
_SLOTS: Final = 16
# Pause before each event of a stream and before a plain answer.
_PAUSE_S: Final = 0.05
# Faults that a worker may be given. A complete answer without a length is left
# out: a caller can't distinguish it from a truncated answer.
FAULTS: Final = tuple(
    item
    for item in standin_worker.Fault
    if item not in {standin_worker.Fault.NONE, standin_worker.Fault.UNFRAMED}
)


@attrs.define
class Place:
    """Location of a worker; after a crash a new worker runs there."""

    service: str
    zone: str
    worker: standin_worker.Worker
    link: links.Link
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    starts: int = 1
    drains: bool = False


class Backends:
    """Workers behind links, registered in a stand-in of the store."""

    def __init__(self, group: anyio.abc.TaskGroup, each: int) -> None:
        """Initializes the store; `start` runs `each` workers per service."""
        self._group = group
        self._each = each
        self.store = standin_store.Store()
        self.places: list[Place] = []
        self.workers: list[standin_worker.Worker] = []
        self._version = 1
        self._routes: tuple[str, ...] = ()
        self._keys: tuple[str, ...] = (standin_program.KEY, "old-key")
        self.removed: list[tuple[str, float, float]] = []
        self.revoked: dict[str, float] = {}
        self.drained: dict[str, float] = {}

    async def start(self) -> None:
        """Starts the workers and stores their entries and the manifest."""
        self._configure()
        for service in SERVICES:
            for number in range(self._each):
                worker = self._make_worker(f"{service}-{number}-1")
                zone = ZONES[number % len(ZONES)]
                place = Place(service, zone, worker, links.Link(0))
                await self._serve(place)
                place.link = links.Link(worker.port)
                await self._group.start(place.link.serve)
                self.places.append(place)
                self._register(place)

    def crash(self, place: Place) -> None:
        """Stops a worker abruptly and closes its connections."""
        place.scope.cancel()

    async def restart(self, place: Place) -> None:
        """Starts a new worker on the port of a crashed one."""
        self.store.remove("servers", place.worker.name)
        place.starts += 1
        base = place.worker.name.rpartition("-")[0]
        worker = self._make_worker(f"{base}-{place.starts}")
        worker.port = place.worker.port
        place.worker = worker
        await self._serve(place)
        self._register(place)

    def drain(self, place: Place) -> None:
        """Registers a worker as draining; the worker continues to serve."""
        place.drains = True
        self._register(place)
        self.drained[place.worker.name] = time.monotonic()

    def toggle_route(self, name: str) -> None:
        """Adds a route, or removes the route if it exists."""
        now = time.monotonic()
        if name in self._routes:
            self._routes = tuple(x for x in self._routes if x != name)
            self.removed.append((name, now, float("inf")))
        else:
            self._routes = (*self._routes, name)
            self.removed = [
                (route, at, now if route == name else back)
                for route, at, back in self.removed
            ]
        self._configure()

    def revoke(self, key: str) -> None:
        """Removes a key from the configuration."""
        self._keys = tuple(item for item in self._keys if item != key)
        self._configure()
        self.revoked[key] = time.monotonic()

    def _configure(self) -> None:
        self._version += 3
        made = standin_program.manifest(self._version, self._routes, self._keys)
        self.store.put("config", "main", made)

    def _make_worker(self, name: str) -> standin_worker.Worker:
        worker = standin_worker.Worker(name, pause_s=_PAUSE_S)
        self.workers.append(worker)
        return worker

    async def _serve(self, place: Place) -> None:
        place.scope = anyio.CancelScope()

        async def serve(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            with place.scope:
                await place.worker.serve(task_status=task_status)

        await self._group.start(serve)

    def _register(self, place: Place) -> None:
        self.store.put(
            "servers",
            place.worker.name,
            {
                "service": place.service,
                "address": f"127.0.0.1:{place.link.port}",
                "zone": place.zone,
                "slots": _SLOTS,
                "state": "draining" if place.drains else "ready",
            },
        )
