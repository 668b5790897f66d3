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
MAX_ACCEPTED: Final = 64
# Heartbeat intervals of silence after which a stream is closed.
_SILENT_BEATS: Final = 5.0
# Maximum backoff between attempts to open a stream, in heartbeat intervals.
_MAX_RETRY_BEATS: Final = 4.0

# Errors that grpc.aio raises on a stream that has ended.
_ENDED: Final = (
    grpc.RpcError,
    grpc.aio.BaseError,
    asyncio.InvalidStateError,
)

Context = grpc.aio.ServicerContext[
    membership_pb2.Heartbeat, membership_pb2.Heartbeat
]


class Streams:
    """All heartbeat streams of this daemon."""

    def __init__(
        self,
        shared: membership_heartbeat.Shared,
        channels: membership_channels.Channels,
    ) -> None:
        """Initializes the object; subscribes to table changes and notices."""
        self._shared = shared
        self._channels = channels
        self._conversations: dict[
            membership_heartbeat.Conversation, anyio.CancelScope
        ] = {}
        self._kept: dict[str, anyio.CancelScope] = {}
        shared.table.on_change(self._pass_change_on)
        shared.notices.set_forward(self._pass_notice_on)

    @property
    def count(self) -> int:
        """Returns the number of open streams."""
        return len(self._conversations)

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        membership_pb2_grpc.add_MembershipServicer_to_server(self, server)

    async def Exchange(  # noqa: N802
        self,
        messages: AsyncIterable[membership_pb2.Heartbeat],
        context: Context,
    ) -> None:
        """Exchanges heartbeats on a stream that a peer opened."""
        if self.count >= MAX_ACCEPTED:
            await context.abort(
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                "too many heartbeat streams; choose another daemon",
            )
        await self._converse(context.write, messages)

    async def open(self, address: str) -> None:
        """Opens a stream and exchanges heartbeats until it ends."""
        stub = membership_pb2_grpc.MembershipStub(self._channels.get(address))
        call = stub.Exchange()
        try:
            await self._converse(call.write, call)
        finally:
            call.cancel()

    def keep(
        self, group: anyio.abc.TaskGroup, addresses: frozenset[str]
    ) -> None:
        """Maintains one open stream per address and closes all others."""
        for address in self._kept.keys() - addresses:
            self._kept.pop(address).cancel()
        for address in addresses - self._kept.keys():
            self._kept[address] = anyio.CancelScope()
            group.start_soon(self._keep_open, address, self._kept[address])

    def close_silent(self) -> None:
        """Closes the streams on which heartbeats have stopped arriving."""
        limit_s = _SILENT_BEATS * self._shared.heartbeat_s
        now = self._shared.clock.now()
        for conversation, scope in self._conversations.items():
            if now - conversation.heard_at > limit_s:
                scope.cancel()

    async def _keep_open(self, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            beats = 1.0
            while True:
                opened_at = self._shared.clock.now()
                await self.open(address)
                lasted_s = self._shared.clock.now() - opened_at
                if lasted_s > _SILENT_BEATS * self._shared.heartbeat_s:
                    beats = 0.5
                beats = min(2 * beats, _MAX_RETRY_BEATS)
                await anyio.sleep(beats * self._shared.heartbeat_s)

    async def _converse(
        self,
        write: Callable[[membership_pb2.Heartbeat], Awaitable[None]],
        messages: AsyncIterable[membership_pb2.Heartbeat],
    ) -> None:
        joining = len(self._shared.table.entries) == 1
        conversation = membership_heartbeat.Conversation(
            self._shared, joining=joining
        )
        try:
            async with anyio.create_task_group() as group:
                self._conversations[conversation] = group.cancel_scope
                group.start_soon(_send, conversation, write)
                await _receive(conversation, messages)
                group.cancel_scope.cancel()
        finally:
            del self._conversations[conversation]

    def _pass_change_on(self, run: int, new: bool) -> None:
        for conversation in self._conversations:
            if new:
                conversation.add_entry(run)
            else:
                conversation.add_change(run)

    def _pass_notice_on(self, notice: notices_lib.Notice) -> None:
        for conversation in self._conversations:
            conversation.add_notice(notice)


async def _send(
    conversation: membership_heartbeat.Conversation,
    write: Callable[[membership_pb2.Heartbeat], Awaitable[None]],
) -> None:
    # The end of the stream is detected by `_receive`, after which
    # `_converse` closes the stream.
    await _until_ended(conversation.send(write))


async def _receive(
    conversation: membership_heartbeat.Conversation,
    messages: AsyncIterable[membership_pb2.Heartbeat],
) -> None:
    async def receive_all() -> None:
        async for message in messages:
            conversation.receive(message)

    await _until_ended(receive_all())


async def _until_ended(action: Awaitable[None]) -> None:
    """Awaits an action on a stream that may end during the action."""
    # On a cancelled call, grpc.aio raises a CancelledError of its own. A
    # cancel scope does not recognize this error and would propagate it, which
    # would silently end every task of the group. The checkpoint raises a
    # cancellation that the scope itself has requested.
    with contextlib.suppress(*_ENDED, asyncio.CancelledError):
        await action
    await anyio.lowlevel.checkpoint()
