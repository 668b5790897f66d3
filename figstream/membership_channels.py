"""Stores one gRPC channel per member, shared by every role of a daemon.

An idle channel closes its connection and reconnects when needed, so that 410
members use memory only while this daemon calls them.
"""

from typing import Final

import grpc

from figstream import clock as clock_lib

# More than the planned fleet.
MAX_CHANNELS: Final = 1024
_IDLE_TIMEOUT_S: Final = 30
# Time after the last use at which a channel may be closed.
_UNUSED_TIMEOUT_S: Final = 600.0
_CHANNEL_OPTIONS: Final = (
    ("grpc.client_idle_timeout_ms", _IDLE_TIMEOUT_S * 1000),
    ("grpc.initial_reconnect_backoff_ms", 250),
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.max_reconnect_backoff_ms", 3000),
    ("grpc.enable_http_proxy", 0),
)


class Channels:
    """The open gRPC channels by address."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes the object without channels."""
        self._clock = clock
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._used_at: dict[str, float] = {}

    def get(self, address: str) -> grpc.aio.Channel:
        """Returns the channel to an address, opened on first use."""
        self._used_at[address] = self._clock.now()
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
        return self._channels[address]

    async def close_unused(self, present: frozenset[str]) -> None:
        """Closes unused channels to addresses that are not present.

        Above `MAX_CHANNELS`, unused channels to present addresses are closed
        as well.
        """
        now = self._clock.now()
        over_limit = len(self._channels) > MAX_CHANNELS
        unused = [
            address
            for address, used_at in self._used_at.items()
            if now - used_at > _UNUSED_TIMEOUT_S
            and (over_limit or address not in present)
        ]
        for address in unused:
            del self._used_at[address]
            await self._channels.pop(address).close()

    async def close(self) -> None:
        """Closes every channel."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()
        self._used_at.clear()
