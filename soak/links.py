"""Loopback proxies through which a soak injects network faults.

Each proxy forwards the connections of one port. A fault affects new and open
connections until the link is healed.
"""

import enum
from typing import Final

import anyio
import anyio.abc

from figstream_platform import standin_listener
from figstream_platform import standin_worker

_CHUNK_BYTES: Final = 65_536
_DELAY_S: Final = 0.15
# Part that a link of limited rate forwards at a time; as much as some packets.
_PACED_BYTES: Final = 8_192
_CLOSED_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


class LinkMode(enum.Enum):
    """Modes in which a link forwards."""

    PASS = "pass"
    DELAY = "delay"  # Each chunk is delayed.
    SILENT = "silent"  # All data is held back until the link is healed.
    DEAF = "deaf"  # Requests pass, answers are held back until healed.
    RESET = "reset"  # Open and new connections are reset.


class Rate:
    """The rate of one machine's link, shared by all that passes it."""

    def __init__(self, bytes_per_s: float) -> None:
        """Initializes an idle link."""
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self.passed_bytes = 0

    async def pass_bytes(self, size_bytes: int) -> None:
        """Waits until the link has carried some bytes after all others."""
        now = anyio.current_time()
        self._free_at = max(now, self._free_at) + size_bytes / self._bytes_per_s
        self.passed_bytes += size_bytes
        await anyio.sleep_until(self._free_at)


class Link:
    """Proxy in front of one local port."""

    def __init__(self, port: int, rate: Rate | None = None) -> None:
        """Initializes a proxy to a port; `serve` starts the proxy.

        Args:
          port: local port to which it forwards.
          rate: rate of the answers that it forwards, None for no limit.
        """
        self._target_port = port
        self._rate = rate
        self._mode = LinkMode.PASS
        self._changed = anyio.Event()
        self._open_streams: set[anyio.abc.SocketStream] = set()
        self._stalled_streams: set[anyio.abc.SocketStream] = set()
        self._open_scopes: set[anyio.CancelScope] = set()
        self._listener: standin_listener.Listener
        self._is_accepting = True
        self.port = 0

    @property
    def mode(self) -> LinkMode:
        """Returns the current mode."""
        return self._mode

    def set_mode(self, mode: LinkMode) -> None:
        """Applies a fault, or heals the link with `LinkMode.PASS`."""
        self._mode = mode
        self._changed.set()
        self._changed = anyio.Event()
        if mode is LinkMode.RESET:
            self._reset_open()

    def forward_to(self, port: int) -> None:
        """Forwards new connections to another port."""
        self._target_port = port

    def stall_open(self) -> None:
        """Holds back all data of the open connections for good.

        New connections work. No connection is closed by it.
        """
        self._stalled_streams |= self._open_streams

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forwards connections until cancelled.

        Reports the port as the task status once the proxy listens.
        """
        await self._listen()
        task_status.started(self.port)
        while True:
            await standin_listener.serve(
                self._listener, self._handle_connection
            )
            while not self._is_accepting:
                await self._changed.wait()
            await self._listen()

    def set_accepting(self, accepting: bool) -> None:
        """Refuses all connections, as a port without a listener, or stops it.

        Open connections are reset.
        """
        self._is_accepting = accepting
        if accepting:
            self._changed.set()
            self._changed = anyio.Event()
        else:
            # The port must refuse connections before any of them breaks, as
            # the check for a crash follows at once.
            standin_listener.shut_down(self._listener)
            self._reset_open()

    def _reset_open(self) -> None:
        for stream in self._open_streams:
            standin_worker.reset_when_closed(stream)
        for scope in self._open_scopes:
            scope.cancel()

    async def _listen(self) -> None:
        self._listener = await standin_listener.listen(self.port)
        self.port = self._listener.extra(anyio.abc.SocketAttribute.local_port)

    async def _handle_connection(
        self, caller_stream: anyio.abc.SocketStream
    ) -> None:
        async with caller_stream:
            if self._mode is LinkMode.RESET:
                standin_worker.reset_when_closed(caller_stream)
                return
            try:
                target_stream = await anyio.connect_tcp(
                    "127.0.0.1", self._target_port
                )
            except OSError:
                standin_worker.reset_when_closed(caller_stream)
                return
            self._open_streams |= {caller_stream, target_stream}
            try:
                async with target_stream, anyio.create_task_group() as group:
                    self._open_scopes.add(group.cancel_scope)
                    if self.mode is LinkMode.RESET:
                        self._reset_open()
                    group.start_soon(
                        self._forward, caller_stream, target_stream, False
                    )
                    await self._forward(target_stream, caller_stream, True)
                    group.cancel_scope.cancel()
            finally:
                self._open_scopes.discard(group.cancel_scope)
                self._open_streams -= {caller_stream, target_stream}
                self._stalled_streams -= {caller_stream, target_stream}

    async def _forward(
        self,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        is_answer: bool,
    ) -> None:
        try:
            while True:
                paced = self._rate is not None and is_answer
                chunk = await source.receive(
                    _PACED_BYTES if paced else _CHUNK_BYTES
                )
                if self._rate and paced:
                    await self._rate.pass_bytes(len(chunk))
                await self._delay_or_hold(is_answer)
                if source not in self._stalled_streams:
                    await sink.send(chunk)
        except _CLOSED_ERRORS as error:
            # Closes both directions, since HTTP does not use half-closed
            # connections.
            await self._delay_or_hold(is_answer)
            if is_answer and isinstance(error, anyio.BrokenResourceError):
                # A reset must not look like the end of an answer.
                standin_worker.reset_when_closed(sink)
            await sink.aclose()

    async def _delay_or_hold(self, is_answer: bool) -> None:
        if self._mode is LinkMode.DELAY:
            await anyio.sleep(_DELAY_S)
        while self._mode is LinkMode.SILENT or (
            self._mode is LinkMode.DEAF and is_answer
        ):
            await self._changed.wait()
