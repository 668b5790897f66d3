"""Serves an ASGI application over HTTP inside an anyio task group.

Used for callers, operators, readiness and metrics. The socket is bound before
the server runs, so that a free port chosen for port 0 is known immediately
and early connections wait instead of being refused.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
from typing import Any
from typing import Final

import anyio
import hypercorn.asyncio
from hypercorn.asyncio import run as hypercorn_run
from hypercorn.asyncio import tcp_server
import hypercorn.config
import hypercorn.events

# Connections that may wait to be accepted while the event loop is busy.
_BACKLOG: Final = 1024
# Graceful timeout if `serve` is cancelled; long enough for idle connections
# to close on their own.
_CANCELLED_TIMEOUT_S: Final = 0.05
# Longer than load balancers and callers keep idle connections.
_KEEP_ALIVE_S: Final = 75.0
# High enough to have no effect; by default hypercorn closes a connection
# after a thousand requests.
_MAX_REQUESTS_PER_CONNECTION: Final = 1_000_000
# Hypercorn's own default.
GRACEFUL_TIMEOUT_S: Final = 3.0
# Hypercorn's own default.
HEADER_LIMIT_BYTES: Final = 65_536


class _Connection(tcp_server.TCPServer):
    """A connection that is released as soon as its caller has closed it.

    Hypercorn's own keeps its descriptor and memory for as long as an idle
    connection may stay open.
    """

    _caller_left = False

    async def _read_data(self) -> None:
        await super()._read_data()
        self._caller_left = True
        await self.idle_task.stop()

    async def protocol_send(self, event: hypercorn.events.Event) -> None:
        """Sends data; a closed connection does not become idle."""
        if isinstance(event, hypercorn.events.Closed):
            self._drop_unread_answer()
        idle = isinstance(event, hypercorn.events.Updated) and event.idle
        if not (idle and self._caller_left):
            await super().protocol_send(event)

    def _drop_unread_answer(self) -> None:
        """Frees what is left of an answer whose sending was broken off.

        After a complete write, the buffer is below its limit.
        """
        transport = self.writer.transport
        _, most_bytes = transport.get_write_buffer_limits()
        if transport.get_write_buffer_size() > most_bytes:
            transport.abort()


# Hypercorn has no parameter for it.
hypercorn_run.TCPServer = _Connection  # type: ignore[attr-defined]

# Any ASGI application, whatever types it gives its scope and channels.
Application = Callable[[Any, Any, Any], Awaitable[None]]


class HttpServer:
    """One listening socket and the application behind it."""

    def __init__(
        self,
        app: Application,
        host: str,
        port: int,
        graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
        header_limit_bytes: int = HEADER_LIMIT_BYTES,
    ) -> None:
        """Binds the socket.

        Args:
          app: the application; never receives lifespan events.
          host: IP address to bind.
          port: port to bind; 0 chooses a free one.
          graceful_timeout_s: seconds that requests in flight get after
            `shut_down`.
          header_limit_bytes: largest size of accepted headers.

        Raises:
          OSError: the address can't be bound.
        """
        self._app = app
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = socket.create_server(
            (host, port), family=family, backlog=_BACKLOG
        )
        self._port: int = listener.getsockname()[1]
        self._stop = anyio.Event()
        self._config = hypercorn.config.Config()
        self._config.bind = [f"fd://{listener.detach()}"]
        self._config.backlog = _BACKLOG
        self._config.errorlog = None
        self._config.include_server_header = False
        self._config.graceful_timeout = graceful_timeout_s
        self._config.h11_max_incomplete_size = header_limit_bytes
        self._config.keep_alive_timeout = _KEEP_ALIVE_S
        self._config.keep_alive_max_requests = _MAX_REQUESTS_PER_CONNECTION

    @property
    def port(self) -> int:
        """Returns the bound port."""
        return self._port

    async def serve(self) -> None:
        """Serves until `shut_down`; if cancelled, aborts requests in flight."""
        ended = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self._stop_when_cancelled)
            group.start_soon(self._serve_in_own_task, ended)
            with anyio.CancelScope(shield=True):
                await ended.wait()
            group.cancel_scope.cancel()

    def shut_down(self) -> None:
        """Stops accepting connections; `serve` finishes requests in flight."""
        self._stop.set()

    async def _serve_in_own_task(self, ended: anyio.Event) -> None:
        # Hypercorn leaves its task marked as cancelled. In the calling task
        # this would cancel the next operation, so hypercorn runs in a task of
        # its own.
        with anyio.CancelScope(shield=True):
            try:
                await hypercorn.asyncio.serve(
                    self._handle,
                    self._config,
                    shutdown_trigger=self._stop.wait,
                    mode="asgi",
                )
            finally:
                ended.set()

    async def _stop_when_cancelled(self) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            self._config.graceful_timeout = _CANCELLED_TIMEOUT_S
            self._stop.set()

    async def _handle(
        self,
        scope: Any,
        receive: Any,
        send: Any,
    ) -> None:
        if scope["type"] == "lifespan":
            await _acknowledge_lifespan(receive, send)
        else:
            await self._app(scope, receive, send)


async def _acknowledge_lifespan(receive: Any, send: Any) -> None:
    while True:
        event = await receive()
        if event["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        elif event["type"] == "lifespan.shutdown":
            await send({"type": "lifespan.shutdown.complete"})
            return


@contextlib.asynccontextmanager
async def serve_app(
    app: Application, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[int]:
    """Serves an application within the block; yields the bound port."""
    server = HttpServer(app, host, port)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve)
        try:
            yield server.port
        finally:
            group.cancel_scope.cancel()
