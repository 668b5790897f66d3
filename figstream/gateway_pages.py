"""The pages that a gateway daemon serves beside the callers' front."""

from collections.abc import Callable
from typing import Final

from figstream import asgi
from figstream import metrics as metrics_lib

_TEXT: Final = ((b"content-type", b"text/plain; charset=utf-8"),)


class GatewayPages:
    """Readiness for the balancer, and metrics."""

    def __init__(self, ready_path: str, is_ready: Callable[[], bool]) -> None:
        """Answers the balancer's question on the path."""
        self._ready_path = ready_path
        self._is_ready = is_ready

    async def readiness(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Tells whether the daemon takes new connections."""
        if scope["type"] != "http":
            return
        if scope["path"] != self._ready_path:
            await asgi.send_complete(send, 404, _TEXT, b"no such page\n")
        elif self._is_ready():
            await asgi.send_complete(send, 200, _TEXT, b"ready\n")
        else:
            await asgi.send_complete(send, 503, _TEXT, b"not ready\n")

    async def metrics(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Shows every metric."""
        if scope["type"] == "http":
            await asgi.send_complete(send, 200, _TEXT, metrics_lib.exposition())
