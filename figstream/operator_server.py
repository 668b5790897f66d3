"""Runs the gRPC server for operators, on a separate port."""

from typing import Final

import anyio
import grpc

from figstream import configuration_store
from figstream import daemon_context
from figstream import membership_api
from figstream import operator_access
from figstream import operator_explain
from figstream import operator_service
from figstream import operator_status
from figstream import options as options_lib
from figstream.rpc import operator_pb2_grpc

# Time for calls in progress to complete at shutdown.
_STOP_GRACE_S: Final = 2.0


class OperatorServer:
    """gRPC server for operators; implements `daemon_context.Role`."""

    def __init__(
        self,
        service: operator_service.OperatorService,
        options: options_lib.Options,
    ) -> None:
        """Creates the server and binds its port; port 0 selects a free one."""
        access = operator_access.AccessInterceptor(options.token_digest)
        self._server = grpc.aio.server(
            interceptors=(access,), options=(("grpc.so_reuseport", 0),)
        )
        operator_pb2_grpc.add_OperatorServicer_to_server(service, self._server)
        port = self._server.add_insecure_port(
            f"{options.address}:{options.operator_port}"
        )
        self._address = f"{options.address}:{port}"

    @property
    def address(self) -> str:
        """Returns the address on which the server accepts calls."""
        return self._address

    async def run(self) -> None:
        """Serves until cancelled."""
        await self._server.start()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await self._server.stop(_STOP_GRACE_S)

    async def hand_over(self) -> None:
        """Returns immediately; calls are served until the daemon exits."""


def make_operator_server(
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
    unreachable_zones: operator_status.UnreachableZones,
    explainer: operator_explain.Explainer,
    acceptor: configuration_store.Acceptor,
) -> OperatorServer:
    """Creates the operator server of one daemon."""
    service = operator_service.make_operator_service(
        context, members, unreachable_zones, explainer, acceptor
    )
    return OperatorServer(service, context.options)
