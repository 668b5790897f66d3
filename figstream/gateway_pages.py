"""Readiness and metrics pages of a gateway daemon.

They are served on ports of their own, apart from requests of callers.
"""

from collections.abc import Callable
from typing import Final

from figstream import asgi
from figstream import metrics as metrics_lib

_TEXT: Final = ((b"content-type", b"text/plain; charset=utf-8"),)


class GatewayPages:
    """ASGI applications for readiness checks and for metrics."""

    def __init__(self, ready_path: str, is_ready: Callable[[], bool]) -> None:
        """Initializes the pages.

        Args:
          ready_path: path of the load balancer's readiness check.
          is_ready: returns whether the daemon is ready.
        """
        self._ready_path = ready_path
        self._is_ready = is_ready

    async def readiness(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers whether the daemon accepts new connections."""
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
        """Serves all metrics as text."""
        if scope["type"] == "http":
            await asgi.send_complete(send, 200, _TEXT, metrics_lib.exposition())
