"""Implements the gRPC client of the operator command line."""

from collections.abc import Callable
import enum
from typing import Any
from typing import Final

import attrs
import grpc

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import message_texts
from figstream import operator_access
from figstream import operator_messages
from figstream import request_class as request_class_lib
from figstream import route as route_lib
from figstream.rpc import operator_pb2
from figstream.rpc import operator_pb2_grpc

# Longer than the longest wait of `WithdrawKey` for the zones.
_TIMEOUT_S: Final = 40.0


class ExitCode(enum.IntEnum):
    """Exit codes of the operator commands."""

    DONE = 0
    CONFLICT = 3
    REFUSED = 4
    UNAVAILABLE = 5


class CallError(Exception):
    """Raised when a call fails; the message names the remedy."""

    def __init__(self, message: str, exit_code: ExitCode) -> None:
        """Stores the exit code of the command."""
        super().__init__(message)
        self.exit_code = exit_code


@attrs.frozen
class OperatorClient:
    """Client of one daemon's operator service.

    Attributes:
      address: IP address and operator port.
      token: the operators' token, or "".
    """

    address: str
    token: str = ""

    def call(self, name: str, request: Any) -> Any:
        """Calls the service method with the given name.

        Raises:
          CallError: the daemon did not answer or denied access.
        """
        metadata: tuple[tuple[str, str], ...] = ()
        if self.token:
            value = operator_access.TOKEN_SCHEME + self.token
            metadata = ((operator_access.TOKEN_HEADER, value),)
        options = (("grpc.enable_http_proxy", 0),)
        with grpc.insecure_channel(self.address, options=options) as channel:
            stub = operator_pb2_grpc.OperatorStub(channel)
            method: Callable[..., Any] = getattr(stub, name)
            try:
                return method(request, timeout=_TIMEOUT_S, metadata=metadata)
            except grpc.RpcError as error:
                raise _call_error(error, self.address) from error

    def configuration(self) -> operator_pb2.ConfigurationAnswer:
        """Returns the newest configuration."""
        answer: operator_pb2.ConfigurationAnswer = self.call(
            "GetConfiguration", operator_pb2.GetConfigurationRequest()
        )
        return answer


def to_configuration(
    answer: operator_pb2.ConfigurationAnswer,
) -> configuration_lib.Configuration:
    """Returns the configuration in an answer, without the keys."""
    convert = operator_messages.to_domain
    return configuration_lib.Configuration(
        generation=answer.generation,
        customers=tuple(
            convert(item, customer_lib.Customer) for item in answer.customers
        ),
        classes=tuple(
            convert(item, request_class_lib.RequestClass)
            for item in answer.classes
        ),
        servers=tuple(
            convert(item, backend_server.BackendServer)
            for item in answer.servers
        ),
        routes=tuple(convert(item, route_lib.Route) for item in answer.routes),
        default_class=answer.default_class,
    )


def exit_code(outcome: operator_pb2.Outcome) -> ExitCode:
    """Returns the exit code of a change's outcome."""
    return {
        operator_pb2.ACCEPTED: ExitCode.DONE,
        operator_pb2.NO_CHANGE: ExitCode.DONE,
        operator_pb2.CONFLICT: ExitCode.CONFLICT,
        operator_pb2.REFUSED: ExitCode.REFUSED,
    }.get(outcome.result, ExitCode.UNAVAILABLE)


def _call_error(error: Any, address: str) -> CallError:
    if error.code() in {
        grpc.StatusCode.UNAUTHENTICATED,
        grpc.StatusCode.PERMISSION_DENIED,
    }:
        return CallError(str(error.details()), ExitCode.REFUSED)
    text = message_texts.DAEMON_SILENT.format(
        address=address, detail=error.code().name
    )
    return CallError(text, ExitCode.UNAVAILABLE)
