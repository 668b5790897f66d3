"""Runs the stand-ins of workers and store that the daemons of a soak use.

Changes that an operator would make, such as draining a worker or removing a
key, are written to the store here.
"""

from collections.abc import Callable
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
# Slots of a worker with a refusal limit, fewer than requests run at once, and
# refusals in a second above which it crashes.
_LIMITED_SLOTS: Final = 1
_REFUSAL_LIMIT_TEXT: Final = "3"
# Software version of the first workers; a release replaces it by the other.
_SOFTWARE: Final = ("v1", "v2")
# A block of prompts and a body that crash each backend server which begins to
# answer them.
CRASHING_BLOCK: Final = "bad0"
CRASHING_BODY: Final = b"crashes"
# Pause before each event of a stream and before a plain answer.
_ANSWER_DELAY_S: Final = 0.05
# Faults that need a refusal before them, and a refusal that goes with them.
REPEATED_FAULTS: Final = (
    standin_worker.Fault.REPEATED,
    standin_worker.Fault.REPEATED_WITHOUT_ID,
)
REFUSALS: Final = (
    standin_worker.Fault.MISDIRECTED,
    standin_worker.Fault.SHED,
    standin_worker.Fault.LIMITED,
)
# Other faults that a worker may be given. A complete answer without a length is
# left out: a caller can't distinguish it from a truncated answer.
FAULTS: Final = tuple(
    item
    for item in standin_worker.Fault
    if item
    not in {
        standin_worker.Fault.NONE,
        standin_worker.Fault.UNFRAMED,
        standin_worker.Fault.LIMITED,
        *REPEATED_FAULTS,
    }
)


@attrs.define
class WorkerSite:
    """Location of a worker; after a crash a new worker runs there."""

    service: str
    zone: str
    worker: standin_worker.Worker
    link: links.Link
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    starts: int = 1
    releases: int = 0
    slots: int = _SLOTS
    draining: bool = False


class Backends:
    """Workers behind links, registered in a stand-in of the store."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        workers_per_service: int,
        idle_routes: int = 0,
        page_items: int = standin_store.PAGE_ITEMS,
    ) -> None:
        """Initializes the store; `start` runs the workers.

        Args:
          group: runs the workers.
          workers_per_service: number of workers of each service.
          idle_routes: number of routes that no caller uses.
          page_items: the most objects in an answer of the store to a list.
        """
        self._group = group
        self._workers_per_service = workers_per_service
        self.store = standin_store.Store(page_items)
        self.sites: list[WorkerSite] = []
        self.workers: list[standin_worker.Worker] = []
        self._version = 1
        self._entry_sequence = 0
        self._routes: tuple[str, ...] = ()
        self._idle_routes = tuple(
            f"idle-{number * 7_919 % 99_991}" for number in range(idle_routes)
        )
        self._keys: tuple[str, ...] = (standin_program.KEY, "old-key")
        self.removed: list[tuple[str, float, float]] = []
        self.revoked: dict[str, float] = {}
        self.drained: dict[str, float] = {}
        self.zones: dict[str, str] = {}
        self._emptied: set[str] = set()

    async def start(self) -> None:
        """Starts the workers and stores their entries and the manifest."""
        self._configure()
        for service in SERVICES:
            for number in range(self._workers_per_service):
                worker = self._make_worker(f"{service}-{number}-1", 0)
                zone = ZONES[number % len(ZONES)]
                site = WorkerSite(service, zone, worker, links.Link(0))
                await self._serve(site)
                site.link = links.Link(worker.port)
                await self._group.start(site.link.serve)
                worker.on_listen = site.link.set_accepting
                self.sites.append(site)
                self._register(site)

    def choose_site(self, number: int) -> WorkerSite:
        """Returns the site that a number selects."""
        return self.sites[number % len(self.sites)]

    def crash(self, site: WorkerSite) -> None:
        """Stops a worker abruptly and closes its connections."""
        site.scope.cancel()

    async def restart(self, site: WorkerSite) -> None:
        """Starts a new worker on the port of a crashed one."""
        self.store.remove("servers", site.worker.name)
        site.starts += 1
        base = site.worker.name.rpartition("-")[0]
        worker = self._make_worker(f"{base}-{site.starts}", site.releases)
        worker.port = site.worker.port
        worker.on_listen = site.link.set_accepting
        site.worker.on_listen = None
        site.worker = worker
        await self._serve(site)
        site.link.set_accepting(True)
        self._register(site)

    async def release(self, site: WorkerSite) -> Callable[[], None]:
        """Starts a worker of other software; the present one drains.

        Returns:
          A function that ends the worker that drains.
        """
        old = attrs.evolve(site, draining=True)
        site.starts += 1
        site.releases += 1
        base = old.worker.name.rpartition("-")[0]
        site.worker = self._make_worker(f"{base}-{site.starts}", site.releases)
        await self._serve(site)
        site.link = links.Link(site.worker.port)
        await self._group.start(site.link.serve)
        site.worker.on_listen = site.link.set_accepting
        self._register(site)
        self.drain(old)

        def end() -> None:
            self.store.remove("servers", old.worker.name)
            old.scope.cancel()

        return end

    def set_refusal_limit(self, service: str, *, limited: bool) -> None:
        """Gives the workers of a service few slots and a refusal limit.

        Args:
          service: the service.
          limited: whether they do, or have their usual slots again.
        """
        for site in self.sites:
            if site.service == service:
                site.slots = _LIMITED_SLOTS if limited else _SLOTS
                site.worker.room = _LIMITED_SLOTS
                site.worker.brittle_text = (
                    _REFUSAL_LIMIT_TEXT if limited else ""
                )
                self._register(site)

    def drain(self, site: WorkerSite) -> None:
        """Registers a worker as draining; the worker continues to serve."""
        site.draining = True
        self._register(site)
        self.drained[site.worker.name] = time.monotonic()

    def set_emptied(self, zone: str, *, emptied: bool) -> None:
        """Asks that nothing be sent to a zone, or takes the zone back."""
        if emptied:
            self._emptied.add(zone)
            self.store.put("evacuations", zone, {})
        else:
            self._emptied.discard(zone)
            self.store.remove("evacuations", zone)

    def toggle_route(self, name: str) -> None:
        """Adds a route, or removes the route if it exists."""
        now = time.monotonic()
        if name in self._routes:
            self._routes = tuple(x for x in self._routes if x != name)
            self.removed.append((name, now, float("inf")))
        else:
            self._routes = (*self._routes, name)
            self.removed = [
                (route, at, now if route == name else restored_at)
                for route, at, restored_at in self.removed
            ]
        self._configure()

    def set_route(self, name: str, *, present: bool) -> None:
        """Writes a new configuration that has a route or lacks it."""
        if (name in self._routes) == present:
            self._configure()
        else:
            self.toggle_route(name)

    def revoke(self, key: str) -> None:
        """Removes a key from the configuration."""
        self._keys = tuple(item for item in self._keys if item != key)
        self._configure()
        self.revoked[key] = time.monotonic()

    def rewrite(self) -> None:
        """Writes configuration and entries again after a restore."""
        self._write_manifest()
        registered = {site.worker.name for site in self.sites}
        for name in self.store.names("servers"):
            if name not in registered:
                self.store.remove("servers", name)
        for site in self.sites:
            self._register(site)
        for zone in ZONES:
            self.set_emptied(zone, emptied=zone in self._emptied)

    def _configure(self) -> None:
        self._version += 3
        self._write_manifest()

    def _write_manifest(self) -> None:
        manifest_fields = standin_program.manifest(
            self._version, (*self._routes, *self._idle_routes), self._keys
        )
        self.store.put("config", "main", manifest_fields)

    def _make_worker(self, name: str, releases: int) -> standin_worker.Worker:
        worker = standin_worker.Worker(
            name,
            _SOFTWARE[releases % len(_SOFTWARE)],
            pause_s=_ANSWER_DELAY_S,
            crashing_blocks=frozenset({CRASHING_BLOCK}),
            crashing_bodies=frozenset({CRASHING_BODY}),
        )
        self.workers.append(worker)
        return worker

    async def _serve(self, site: WorkerSite) -> None:
        site.scope = anyio.CancelScope()

        async def serve(*, task_status: anyio.abc.TaskStatus[int]) -> None:
            with site.scope:
                await site.worker.serve(task_status=task_status)

        await self._group.start(serve)

    def _register(self, site: WorkerSite) -> None:
        self._entry_sequence += 1
        self.zones[site.worker.name] = site.zone
        self.store.put(
            "servers",
            site.worker.name,
            {
                "service": site.service,
                "address": f"127.0.0.1:{site.link.port}",
                "zone": site.zone,
                "version": site.worker.software,
                "slots": site.slots,
                "state": "draining" if site.draining else "ready",
                "born": site.worker.started_ms,
                "seq": self._entry_sequence,
            },
        )
