"""Registers ordered backend servers in the configuration.

`server_ordering` calls this module at the end of each round. A started server
is usable once the configuration contains it. The change is stored, propagated
and validated like any other configuration change, so daemons that start later
know the server too. All changes of one round form one configuration change.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final

import attrs

from figstream import backend_server
from figstream import capacity_policy
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import configuration_store
from figstream import logs
from figstream import platform_api

# Number of writes attempted when other daemons change the configuration.
_MAX_ATTEMPTS: Final = 3

_State = backend_server.ServerState


class ServerRegistration:
    """Updates a zone's ordered servers in the configuration."""

    def __init__(
        self,
        zone: str,
        holder: configuration_holder.ConfigurationHolder,
        store: configuration_store.ConfigurationStore,
    ) -> None:
        """Initializes the registration.

        Args:
          zone: zone of the servers.
          holder: active configuration; nothing is written if it already
            matches the listed servers.
          store: store that accepts changed configurations.
        """
        self._zone = zone
        self._holder = holder
        self._store = store

    async def reconcile(
        self,
        listed: Sequence[platform_api.OrderedServer],
        draining: frozenset[str],
    ) -> None:
        """Updates the configuration to match the listed servers of the zone."""
        wanted = {
            item.name: _make_server(item, draining)
            for item in listed
            if item.url
        }

        def change(
            current: configuration_lib.Configuration,
        ) -> configuration_lib.Configuration:
            return with_servers(current, self._zone, wanted)

        current = self._holder.current
        if change(current) == current:
            return
        base = current.generation
        for _ in range(_MAX_ATTEMPTS):
            outcome = await self._store.accept(change, base)
            if not isinstance(outcome, configuration_store.GenerationConflict):
                break
            base = outcome.current
        if not isinstance(outcome, configuration_store.Accepted):
            logs.warning("servers_not_entered", detail=outcome.message)


def with_servers(
    current: configuration_lib.Configuration,
    zone: str,
    wanted: Mapping[str, backend_server.BackendServer],
) -> configuration_lib.Configuration:
    """Returns the configuration with exactly these ordered servers in a zone.

    Settings of a server that an operator has changed are preserved. A server
    that an operator registered under the same name is not modified.
    """
    existing = [
        _merge(item, wanted[item.name])
        if _is_ordered_here(item, zone)
        else item
        for item in current.servers
        if not _is_ordered_here(item, zone) or item.name in wanted
    ]
    names = {item.name for item in existing}
    new = [item for name, item in wanted.items() if name not in names]
    servers = (*existing, *sorted(new, key=lambda item: item.name))
    if servers == current.servers:
        return current
    return attrs.evolve(current, servers=servers)


def _is_ordered_here(server: backend_server.BackendServer, zone: str) -> bool:
    return server.ordered and server.zone == zone


def _merge(
    old: backend_server.BackendServer, new: backend_server.BackendServer
) -> backend_server.BackendServer:
    return attrs.evolve(
        old, url=new.url, models=new.models, state=new.state, zone=new.zone
    )


def _make_server(
    server: platform_api.OrderedServer, draining: frozenset[str]
) -> backend_server.BackendServer:
    state = _State.ACTIVE
    if server.name in draining:
        state = _State.DRAINING
    if server.leaving:
        state = _State.LEAVING
    return backend_server.BackendServer(
        server.name,
        server.url,
        server.zone,
        models=(server.model,),
        slots=capacity_policy.DEFAULT_SLOTS,
        state=state,
        reclaimable=server.reclaimable,
        ordered=True,
    )
