"""Follows the backend servers that register in the platform's store.

The directory adds these servers to the active configuration and sends the
result to the scheduler. A server whose entry is marked as draining receives no
new requests. A server whose entry disappears during an outage of the store
stays in use for a short time after the store's return, since the entry may
have expired only because the server could not renew it.

After a restore from an older copy, the store shows entries as they were. A
server that has been draining stays so for the rest of its run, and the entry of
a server that was gone counts only once the server has written it again.

The servers of a zone that the operator empties count as draining
(`zone_evacuations`).
"""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
import types
from typing import Final

import anyio
import attrs

from figstream import backend_server
from figstream import bounded_records
from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import errors
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import object_follower
from figstream import platform_api
from figstream import scheduler_api
from figstream import store_era

# A malformed entry is logged once per version; this bounds the entries recorded
# for that.
_MAX_LOGGED_FAULTS: Final = 256
# Bounds the records of servers that were draining or gone; many times the
# number that leave within the age of a copy of the store.
_MAX_DEPARTED: Final = 4_096
# Interval of checks whether the store has been back long enough to drop servers
# with missing entries.
_CHECK_INTERVAL_S: Final = 0.1

Decode = Callable[[platform_api.StoredItem], backend_server.BackendServer]
Listener = Callable[[frozenset[str]], None]


class ServerDirectory:
    """The registered backend servers, sent to the scheduler; a `Role`."""

    def __init__(
        self,
        follower: object_follower.ObjectFollower,
        decode: Decode,
        holder: configuration_holder.ConfigurationHolder,
        scheduler: scheduler_api.Scheduler,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        emptied_zones: frozenset[str] | None = frozenset(),
        regions: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        """Subscribes to store entries and to the configuration.

        Args:
          follower: follows the entries of servers.
          decode: decodes an entry.
          holder: the operator's configuration.
          scheduler: receives configuration and servers.
          clock: time source.
          metrics: instruments.
          emptied_zones: zones whose servers get no new requests, None if no
            server may get any until `set_emptied_zones` is called.
          regions: region of each zone.
        """
        self._follower = follower
        self._decode = decode
        self._holder = holder
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._servers: dict[str, backend_server.BackendServer] = {}
        self._missing: dict[str, backend_server.BackendServer] = {}
        self._logged_faults: dict[str, int] = {}
        # The last decoded version of each entry; most entries do not change.
        self._decoded: dict[
            str, tuple[int, backend_server.BackendServer | None]
        ] = {}
        # Start times of the runs that were draining, by server.
        self._drained_runs: dict[str, int] = {}
        # Servers whose entry was removed, oldest first.
        self._departed: dict[str, None] = {}
        # Versions that entries of departed servers had after a restore.
        self._outdated_versions: dict[str, int] = {}
        self._era = 0
        self._emptied_zones = emptied_zones
        self._regions = regions
        self._listeners: list[Listener] = []
        self._wake = anyio.Event()
        follower.subscribe(self._apply_items)
        holder.subscribe(self._send_configuration)

    @property
    def servers(self) -> tuple[backend_server.BackendServer, ...]:
        """Returns all servers, including those whose entry is missing.

        Those of emptied zones are draining.
        """
        emptied = self._emptied_zones
        if emptied is None:
            return ()
        found = itertools.chain(self._servers.values(), self._missing.values())
        if not emptied:
            return tuple(found)
        return tuple(
            _as_draining(item) if item.zone in emptied else item
            for item in found
        )

    @property
    def reachable(self) -> tuple[backend_server.BackendServer, ...]:
        """Returns the servers to which connections may be opened."""
        emptied = self.emptied_zones
        servers = self.servers
        if not emptied:
            return servers
        return tuple(item for item in servers if item.zone not in emptied)

    @property
    def emptied_zones(self) -> frozenset[str]:
        """Returns the zones whose servers get no new requests."""
        return self._emptied_zones or frozenset()

    def set_emptied_zones(self, zones: frozenset[str]) -> None:
        """Applies the zones whose servers get no new requests."""
        self._emptied_zones = zones
        self._notify()

    def subscribe(self, listener: Listener) -> None:
        """Notifies the listener of all server names after each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Drops servers whose entry did not return in time, until cancelled."""
        while True:
            if not self._missing:
                self._wake = anyio.Event()
                await self._wake.wait()
            if not self._follower.settled:
                await self._clock.sleep(_CHECK_INTERVAL_S)
                continue
            logs.info("servers_lapsed", servers=",".join(sorted(self._missing)))
            self._missing.clear()
            self._notify()

    async def hand_over(self) -> None:
        """Does nothing, since there is no state to transfer."""

    def _apply_items(self, items: object_follower.Items) -> None:
        before = self._servers
        self._note_restore(items)
        present = {
            name: item
            for name, item in items.items()
            if self._outdated_versions.get(name) != item.version
        }
        decoded = [self._decode_cached(item) for item in present.values()]
        self._decoded = {
            name: found
            for name, found in self._decoded.items()
            if name in items
        }
        self._servers = {
            item.name: self._with_drained_state(item)
            for item in decoded
            if item
        }
        self._record_departed(before)
        if not self._follower.settled:
            for name, server in before.items():
                if name not in present:
                    self._missing[name] = server
        for name in self._missing.keys() & present.keys():
            del self._missing[name]
        if self._missing:
            self._wake.set()
        self._log_difference(before)
        self._notify()

    def _note_restore(self, items: object_follower.Items) -> None:
        """Records the entries that a restore brought back."""
        era = store_era.era_of(self._follower.position)
        if era == self._era:
            return
        if self._era:
            self._outdated_versions = {
                name: items[name].version
                for name in self._departed
                if name in items
            }
            logs.info(
                "server_entries_restored",
                era=era,
                outdated=",".join(sorted(self._outdated_versions)) or "none",
            )
        self._era = era

    def _with_drained_state(
        self, server: backend_server.BackendServer
    ) -> backend_server.BackendServer:
        """Returns the server as draining if its present run ever was."""
        draining = backend_server.ServerState.DRAINING
        if not server.started_ms:
            return server
        if server.state is draining:
            bounded_records.put(
                self._drained_runs,
                server.name,
                server.started_ms,
                _MAX_DEPARTED,
            )
            return server
        if self._drained_runs.get(server.name) != server.started_ms:
            return server
        return _as_draining(server)

    def _record_departed(
        self, before: dict[str, backend_server.BackendServer]
    ) -> None:
        for name in before.keys() - self._servers.keys():
            bounded_records.put(self._departed, name, None, _MAX_DEPARTED)
        for name in self._departed.keys() & self._servers.keys():
            del self._departed[name]

    def _send_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        self._scheduler.set_configuration(
            attrs.evolve(configuration, servers=self.servers)
        )

    def _decode_cached(
        self, item: platform_api.StoredItem
    ) -> backend_server.BackendServer | None:
        version, server = self._decoded.get(item.name, (0, None))
        if version != item.version:
            server = self._decode_or_skip(item)
            self._decoded[item.name] = item.version, server
        return server

    def _decode_or_skip(
        self, item: platform_api.StoredItem
    ) -> backend_server.BackendServer | None:
        try:
            server = self._decode(item)
            region = self._regions.get(server.zone, "")
            return attrs.evolve(server, region=region) if region else server
        except errors.ConfigurationError as error:
            if self._logged_faults.get(item.name) != item.version:
                logs.warning(
                    "server_entry_skipped",
                    entry=item.name,
                    version=item.version,
                    detail=str(error),
                )
                self._metrics.event("server_entry_skipped")
                if len(self._logged_faults) >= _MAX_LOGGED_FAULTS:
                    self._logged_faults.clear()
                self._logged_faults[item.name] = item.version
            return None

    def _log_difference(
        self, before: dict[str, backend_server.BackendServer]
    ) -> None:
        for name, server in self._servers.items():
            if before.get(name) != server:
                logs.info(
                    "server_known",
                    server=name,
                    service=server.service,
                    zone=server.zone,
                    state=server.state.value,
                    reclaimable=server.reclaimable,
                    software=server.software,
                    position=self._follower.position,
                )
        for name in before.keys() - self._servers.keys():
            logs.info(
                "server_gone",
                server=name,
                lapsing=name in self._missing,
                position=self._follower.position,
            )

    def _notify(self) -> None:
        self._send_configuration(self._holder.current)
        names = frozenset(item.name for item in self.servers)
        for listener in self._listeners:
            listener(names)


def _as_draining(
    server: backend_server.BackendServer,
) -> backend_server.BackendServer:
    return attrs.evolve(server, state=backend_server.ServerState.DRAINING)
