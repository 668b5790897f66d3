"""Implements the gRPC server that other daemons call.

The port is bound by the constructor, so that the daemon can publish the
address of the server to its peers before the server starts.
"""

from collections.abc import Iterable
from typing import Final

import grpc

from figstream import daemon_context

# Calls between daemons take milliseconds.
_STOP_GRACE_S: Final = 1.0
# The largest size of a configuration that the system is designed for.
_MAX_MESSAGE_BYTES: Final = 16_000_000
_OPTIONS: Final = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


class PeerServer:
    """gRPC server for the roles that other daemons call."""

    def __init__(
        self, host: str, port: int, stop_grace_s: float = _STOP_GRACE_S
    ) -> None:
        """Binds the port.

        Args:
          host: IP address.
          port: port, 0 for a free one.
          stop_grace_s: seconds that calls in progress get at the end.
        """
        self._stop_grace_s = stop_grace_s
        self._server = grpc.aio.server(options=_OPTIONS)
        self._port = self._server.add_insecure_port(f"{host}:{port}")
        self._address = f"{host}:{self._port}"

    @property
    def address(self) -> str:
        """Returns the address that peers call."""
        return self._address

    async def start(self, roles: Iterable[daemon_context.RpcRole]) -> None:
        """Registers the services of the roles and starts the server."""
        for role in roles:
            role.register(self._server)
        await self._server.start()

    async def stop(self) -> None:
        """Stops the server after a grace period for calls in progress."""
        await self._server.stop(self._stop_grace_s)
