"""Opens and accepts the heartbeat streams of one daemon.

Each stream that this daemon opens runs in its own task. The gRPC server runs a
task for each stream that a peer opens.
"""

import asyncio
from collections.abc import AsyncIterable
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from typing import Final

import anyio
import anyio.abc
import anyio.lowlevel
import grpc

from figstream import membership_channels
from figstream import membership_heartbeat
from figstream import notices as notices_lib
from figstream.rpc import membership_pb2
from figstream.rpc import membership_pb2_grpc

# Ten times the number of neighbours of a daemon.
MAX_STREAMS: Final = 64
# Heartbeat intervals of silence after which a stream is closed.
_SILENCE_HEARTBEATS: Final = 5.0
# Maximum backoff between attempts to open a stream, in heartbeat intervals.
_MAX_BACKOFF_HEARTBEATS: Final = 4.0

# Errors that grpc.aio raises on a stream that has ended.
_STREAM_ENDED_ERRORS: Final = (
    grpc.RpcError,
    grpc.aio.BaseError,
    asyncio.InvalidStateError,
)

Context = grpc.aio.ServicerContext[
    membership_pb2.Heartbeat, membership_pb2.Heartbeat
]


class HeartbeatStreams:
    """All heartbeat streams of this daemon."""

    def __init__(
        self,
        shared: membership_heartbeat.HeartbeatState,
        channels: membership_channels.Channels,
    ) -> None:
        """Initializes the object; subscribes to table changes and notices."""
        self._shared = shared
        self._channels = channels
        self._sessions: dict[
            membership_heartbeat.HeartbeatSession, anyio.CancelScope
        ] = {}
        self._scopes_by_address: dict[str, anyio.CancelScope] = {}
        shared.table.on_change(self._queue_change)
        shared.notices.set_forward(self._queue_notice)

    @property
    def count(self) -> int:
        """Returns the number of open streams."""
        return len(self._sessions)

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        membership_pb2_grpc.add_MembershipServicer_to_server(self, server)

    async def Exchange(  # noqa: N802
        self,
        messages: AsyncIterable[membership_pb2.Heartbeat],
        context: Context,
    ) -> None:
        """Exchanges heartbeats on a stream that a peer opened."""
        if self.count >= MAX_STREAMS:
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                "too many heartbeat streams; choose another daemon",
            )
        await self._run_session(context.write, messages)

    async def open(self, address: str) -> bool:
        """Opens a stream and exchanges heartbeats until it ends.

        Returns:
          Whether it ended because heartbeats stopped arriving.
        """
        stub = membership_pb2_grpc.MembershipStub(self._channels.get(address))
        call = stub.Exchange()
        try:
            return await self._run_session(call.write, call)
        finally:
            call.cancel()

    def maintain(
        self, group: anyio.abc.TaskGroup, addresses: frozenset[str]
    ) -> None:
        """Maintains one open stream per address and closes all others."""
        for address in self._scopes_by_address.keys() - addresses:
            self._scopes_by_address.pop(address).cancel()
        for address in addresses - self._scopes_by_address.keys():
            self._scopes_by_address[address] = anyio.CancelScope()
            group.start_soon(
                self._keep_open, address, self._scopes_by_address[address]
            )

    def close_silent(self) -> None:
        """Closes the streams on which heartbeats have stopped arriving."""
        for session, scope in self._sessions.items():
            if self._is_silent(session):
                scope.cancel()

    def _is_silent(
        self, session: membership_heartbeat.HeartbeatSession
    ) -> bool:
        silent_s = self._shared.clock.now() - session.received_at
        return silent_s > _SILENCE_HEARTBEATS * self._shared.heartbeat_s

    async def _keep_open(self, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            backoff_heartbeats = 1.0
            while True:
                opened_at = self._shared.clock.now()
                if await self.open(address):
                    self._channels.replace(address)
                lasted_s = self._shared.clock.now() - opened_at
                if lasted_s > _SILENCE_HEARTBEATS * self._shared.heartbeat_s:
                    backoff_heartbeats = 0.5
                backoff_heartbeats = min(
                    2 * backoff_heartbeats, _MAX_BACKOFF_HEARTBEATS
                )
                await anyio.sleep(backoff_heartbeats * self._shared.heartbeat_s)

    async def _run_session(
        self,
        write: Callable[[membership_pb2.Heartbeat], Awaitable[None]],
        messages: AsyncIterable[membership_pb2.Heartbeat],
    ) -> bool:
        """Exchanges heartbeats; returns whether they stopped arriving."""
        joining = len(self._shared.table.entries) == 1
        session = membership_heartbeat.HeartbeatSession(
            self._shared, joining=joining
        )
        try:
            async with anyio.create_task_group() as group:
                self._sessions[session] = group.cancel_scope
                group.start_soon(_send, session, write)
                await _receive(session, messages)
                group.cancel_scope.cancel()
        finally:
            del self._sessions[session]
        return self._is_silent(session)

    def _queue_change(self, run: int, new: bool) -> None:
        for session in self._sessions:
            if new:
                session.add_entry(run)
            else:
                session.add_status(run)

    def _queue_notice(self, notice: notices_lib.Notice) -> None:
        for session in self._sessions:
            session.add_notice(notice)


async def _send(
    session: membership_heartbeat.HeartbeatSession,
    write: Callable[[membership_pb2.Heartbeat], Awaitable[None]],
) -> None:
    # The end of the stream is detected by `_receive`, after which
    # `_run_session` closes the stream.
    await _suppress_stream_end(session.send(write))


async def _receive(
    session: membership_heartbeat.HeartbeatSession,
    messages: AsyncIterable[membership_pb2.Heartbeat],
) -> None:
    async def receive_all() -> None:
        async for message in messages:
            session.receive(message)

    await _suppress_stream_end(receive_all())


async def _suppress_stream_end(action: Awaitable[None]) -> None:
    """Awaits an action on a stream that may end during the action."""
    # On a cancelled call, grpc.aio raises a CancelledError of its own. A
    # cancel scope does not recognize this error and would propagate it, which
    # would silently end every task of the group. The checkpoint raises a
    # cancellation that the scope itself has requested.
    with contextlib.suppress(*_STREAM_ENDED_ERRORS, asyncio.CancelledError):
        await action
    await anyio.lowlevel.checkpoint()
