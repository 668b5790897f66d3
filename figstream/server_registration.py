"""Enters ordered backend servers in the configuration.

A started server can be used once it stands in the configuration, which is
kept, spread and checked like any other change; so a daemon that starts later
knows it too. One change carries whatever a round has found.
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

# Writes against other daemons' changes.
_ATTEMPTS: Final = 3

_State = backend_server.ServerState


class ServerRegistration:
    """Keeps a zone's ordered servers in the configuration up to date."""

    def __init__(
        self,
        zone: str,
        holder: configuration_holder.ConfigurationHolder,
        store: configuration_store.ConfigurationStore,
    ) -> None:
        """Compares with what the holder has before it changes anything."""
        self._zone = zone
        self._holder = holder
        self._store = store

    async def reconcile(
        self,
        listed: Sequence[platform_api.OrderedServer],
        draining: frozenset[str],
    ) -> None:
        """Makes the configuration show the listed servers of the zone."""
        wanted = {
            item.name: _entry(item, draining) for item in listed if item.url
        }

        def change(
            current: configuration_lib.Configuration,
        ) -> configuration_lib.Configuration:
            return with_servers(current, self._zone, wanted)

        current = self._holder.current
        if change(current) == current:
            return
        base = current.generation
        for _ in range(_ATTEMPTS):
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
    """Returns the configuration with these ordered servers in a zone.

    What an operator changed about a server stays; a server that an operator
    entered under the same name is left alone.
    """
    kept = [
        _merged(item, wanted[item.name]) if _is_ours(item, zone) else item
        for item in current.servers
        if not _is_ours(item, zone) or item.name in wanted
    ]
    names = {item.name for item in kept}
    new = [item for name, item in wanted.items() if name not in names]
    servers = (*kept, *sorted(new, key=lambda item: item.name))
    if servers == current.servers:
        return current
    return attrs.evolve(current, servers=servers)


def _is_ours(server: backend_server.BackendServer, zone: str) -> bool:
    return server.ordered and server.zone == zone


def _merged(
    old: backend_server.BackendServer, new: backend_server.BackendServer
) -> backend_server.BackendServer:
    return attrs.evolve(
        old, url=new.url, models=new.models, state=new.state, zone=new.zone
    )


def _entry(
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
        slots=capacity_policy.SLOTS,
        state=state,
        reclaimable=server.reclaimable,
        ordered=True,
    )
