"""Probes the path of this daemon to backend servers when in doubt.

A probe opens connections to a few servers and closes them. A suspicion is
probed at once, and a lost path twice a second.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Final

import anyio
import httpcore

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import server_connector
from figstream import server_directory
from figstream import server_paths

_CHECK_INTERVAL_S: Final = 0.1
# Time between two probes; each costs servers a new connection.
_PROBE_INTERVAL_S: Final = 0.5
# A connection takes a few round trips, and one lost packet.
_CONNECT_TIMEOUT_S: Final = 0.4


class PathProbe:
    """Probes paths; a `daemon_context.Role`."""

    def __init__(
        self,
        directory: server_directory.ServerDirectory,
        zone: str,
        paths: server_paths.ServerPaths,
        direct: server_connector.DirectConnector,
        on_lost: Callable[[], Awaitable[None]],
        clock: clock_lib.Clock,
    ) -> None:
        """Initializes the role.

        Args:
          directory: the backend servers.
          zone: availability zone of the daemon.
          paths: receives the outcome of probes.
          direct: opens the connections of probes.
          on_lost: called when the path was lost.
          clock: source of the time between probes.
        """
        self._directory = directory
        self._zone = zone
        self._paths = paths
        self._direct = direct
        self._on_lost = on_lost
        self._clock = clock
        self._random = random.Random()

    async def run(self) -> None:
        """Probes while the path is suspected or lost, until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL_S)
            servers = self._directory.reachable
            if not self._paths.direct or self._paths.suspected(len(servers)):
                await self.probe()
                await self._clock.sleep(_PROBE_INTERVAL_S)

    async def hand_over(self) -> None:
        """Does nothing, since there is no state to transfer."""

    async def probe(self) -> None:
        """Connects to a few servers and records whether one is reached."""
        probed = server_paths.choose_probed(
            self._directory.reachable, self._zone, self._random
        )
        reached: list[str] = []
        async with anyio.create_task_group() as group:
            for server in probed:
                group.start_soon(self._connect, server, reached)
        if reached and self._paths.direct:
            self._paths.opened(reached[0])
        elif reached:
            self._paths.mark_regained(reached[0])
        elif probed and self._paths.direct:
            self._paths.mark_lost([item.name for item in probed])
            await self._on_lost()

    async def _connect(
        self, server: backend_server.BackendServer, reached: list[str]
    ) -> None:
        address = server_connector.address_of(server)
        try:
            stream = await self._direct.connect(address, _CONNECT_TIMEOUT_S)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return
        reached.append(server.name)
        await stream.aclose()
