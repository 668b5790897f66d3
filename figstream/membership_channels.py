"""Stores one gRPC channel per member, shared by every role of a daemon.

An idle channel closes its connection and reconnects when needed, so that 410
members use memory only while this daemon calls them.

A connection may go silent without being closed. gRPC then goes on using it, so
a channel whose calls time out in a row is replaced by one with a connection of
its own.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

import grpc

from figstream import clock as clock_lib
from figstream import logs

# More than the planned fleet.
MAX_CHANNELS: Final = 1024
_IDLE_TIMEOUT_S: Final = 30
# Time after the last use at which a channel may be closed.
_UNUSED_TIMEOUT_S: Final = 600.0
# Longer than any call between daemons. Closing a channel cancels its calls,
# which would end the tasks that wait for them.
_REPLACED_LIFETIME_S: Final = 30.0
# A busy daemon may miss the time limit of one call.
_MAX_TIMEOUTS_IN_A_ROW: Final = 2
_CHANNEL_OPTIONS: Final = (
    # The channel that replaces another must not share its connection.
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.client_idle_timeout_ms", _IDLE_TIMEOUT_S * 1000),
    ("grpc.initial_reconnect_backoff_ms", 250),
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.max_reconnect_backoff_ms", 3000),
    ("grpc.enable_http_proxy", 0),
)


class _TimeoutCounter(grpc.aio.UnaryUnaryClientInterceptor):
    """Counts the calls of one channel that time out in a row."""

    def __init__(self, on_silence: Callable[[], None]) -> None:
        self._on_silence = on_silence
        self._timeouts = 0

    async def intercept_unary_unary(
        self, continuation: Any, client_call_details: Any, request: Any
    ) -> Any:
        call = await continuation(client_call_details, request)
        if await call.code() is not grpc.StatusCode.DEADLINE_EXCEEDED:
            self._timeouts = 0
            return call
        self._timeouts += 1
        if self._timeouts == _MAX_TIMEOUTS_IN_A_ROW:
            self._on_silence()
        return call


class Channels:
    """The open gRPC channels by address."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes the object without channels."""
        self._clock = clock
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._used_at: dict[str, float] = {}
        self._replaced: list[tuple[float, grpc.aio.Channel]] = []

    def get(self, address: str) -> grpc.aio.Channel:
        """Returns the channel to an address, opened on first use."""
        self._used_at[address] = self._clock.now()
        if address not in self._channels:
            counter = _TimeoutCounter(lambda: self.replace(address))
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS, interceptors=(counter,)
            )
        return self._channels[address]

    def replace(self, address: str) -> None:
        """Gives up a silent channel; the next use opens another one."""
        channel = self._channels.pop(address, None)
        if channel:
            logs.info("peer_connection_silent", address=address)
            self._replaced.append((self._clock.now(), channel))

    async def close_unused(self, present: frozenset[str]) -> None:
        """Closes replaced channels, and unused ones to absent addresses.

        Above `MAX_CHANNELS`, unused channels to present addresses are closed
        as well.
        """
        now = self._clock.now()
        while (
            self._replaced and now - self._replaced[0][0] > _REPLACED_LIFETIME_S
        ):
            await self._replaced.pop(0)[1].close()
        over_limit = len(self._channels) > MAX_CHANNELS
        unused = [
            address
            for address, used_at in self._used_at.items()
            if now - used_at > _UNUSED_TIMEOUT_S
            and (over_limit or address not in present)
        ]
        for address in unused:
            del self._used_at[address]
            channel = self._channels.pop(address, None)
            if channel:
                await channel.close()

    async def close(self) -> None:
        """Closes every channel."""
        replaced = (channel for _, channel in self._replaced)
        for channel in (*replaced, *self._channels.values()):
            await channel.close()
        self._replaced.clear()
        self._channels.clear()
        self._used_at.clear()
