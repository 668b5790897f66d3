"""The gRPC server that other daemons call.

Its port is bound when it is built, so that the daemon can tell its address to
its peers before it serves.
"""

from collections.abc import Iterable
from typing import Final

import grpc

from figstream import daemon_context

# Seconds; calls between daemons take milliseconds.
_STOP_GRACE_S: Final = 1.0
# Bytes; a configuration of the size that is planned for.
_MAX_MESSAGE_BYTES: Final = 16_000_000
_OPTIONS: Final = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


class PeerServer:
    """Serves the roles that other daemons call."""

    def __init__(self, host: str, port: int) -> None:
        """Binds the port; 0 picks a free one."""
        self._server = grpc.aio.server(options=_OPTIONS)
        self._port = self._server.add_insecure_port(f"{host}:{port}")
        self._address = f"{host}:{self._port}"

    @property
    def address(self) -> str:
        """Returns the address that peers call."""
        return self._address

    async def start(self, roles: Iterable[daemon_context.RpcRole]) -> None:
        """Starts to serve the roles."""
        for role in roles:
            role.register(self._server)
        await self._server.start()

    async def stop(self) -> None:
        """Lets calls finish for a moment, then stops."""
        await self._server.stop(_STOP_GRACE_S)
