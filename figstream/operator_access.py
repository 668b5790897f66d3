"""Authenticates operator calls by a token or by a loopback address.

The settings contain the digest of the token, never the token. Without a
digest, only calls from loopback addresses are accepted.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import hmac
import ipaddress
from typing import TYPE_CHECKING
from typing import Any
from typing import Final
import urllib.parse

import grpc

from figstream import message_texts

if TYPE_CHECKING:
    _Handler = grpc.RpcMethodHandler[Any, Any]

TOKEN_HEADER: Final = "authorization"
TOKEN_SCHEME: Final = "Bearer "


def digest(token: str) -> str:
    """Returns the hexadecimal SHA-256 of a token, as stored in the settings."""
    return hashlib.sha256(token.encode()).hexdigest()


class AccessInterceptor(grpc.aio.ServerInterceptor):
    """Rejects calls without the operators' token."""

    def __init__(self, token_digest: str) -> None:
        """Stores the digest of the token; "" accepts loopback clients only."""
        self._token_digest = token_digest

    async def intercept_service(
        self,
        continuation: Callable[
            [grpc.HandlerCallDetails],
            Awaitable["_Handler | None"],
        ],
        handler_call_details: grpc.HandlerCallDetails,
    ) -> "_Handler | None":
        """Returns a handler that checks access before the call."""
        handler: Any = await continuation(handler_call_details)
        if handler is None:
            return handler

        async def checked(request: Any, context: Any) -> Any:
            await self._check(context)
            return await handler.unary_unary(request, context)

        return grpc.unary_unary_rpc_method_handler(
            checked,
            request_deserializer=handler.request_deserializer,
            response_serializer=handler.response_serializer,
        )

    async def _check(self, context: Any) -> None:
        if not self._token_digest:
            if not is_loopback(context.peer()):
                await context.abort(
                    grpc.StatusCode.PERMISSION_DENIED,
                    message_texts.OPERATOR_TOKEN_UNSET,
                )
            return
        received = dict(context.invocation_metadata()).get(TOKEN_HEADER, "")
        token = str(received).removeprefix(TOKEN_SCHEME)
        if not hmac.compare_digest(digest(token), self._token_digest):
            await context.abort(
                grpc.StatusCode.UNAUTHENTICATED,
                message_texts.OPERATOR_TOKEN_WRONG,
            )


def is_loopback(peer: str) -> bool:
    """Returns whether a gRPC peer such as ipv4:127.0.0.1:5 is on this VM."""
    scheme, _, address = urllib.parse.unquote(peer).partition(":")
    if scheme not in {"ipv4", "ipv6"}:
        return False
    host = address.rpartition(":")[0].strip("[]")
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
