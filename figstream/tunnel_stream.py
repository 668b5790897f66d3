"""The client's end of a connection to a backend server through a peer.

Carries bytes over a gRPC stream, so that an exchange with a backend server is
the same as over a TCP connection of this daemon.
"""

import asyncio
import ssl
from typing import Any
from typing import Final

import anyio
import anyio.lowlevel
import grpc
import httpcore

from figstream.rpc import tunnel_pb2

# Longer messages would delay those of other streams of the connection.
_MAX_CHUNK_BYTES: Final = 65_536

# gRPC raises InvalidStateError for a write after the end of the call.
_WRITE_ERRORS: Final = (
    grpc.aio.AioRpcError,
    grpc.aio.UsageError,
    asyncio.InvalidStateError,
)

Call = grpc.aio.StreamStreamCall[tunnel_pb2.Chunk, tunnel_pb2.Chunk]


async def raise_if_cancelled() -> None:
    """Raises the cancellation of the present task, if it was cancelled.

    Closing a channel cancels its calls, whose waiting tasks then see a
    cancellation that nobody has asked of them; this returns. If a task was
    cancelled, gRPC replaces its cancellation by one that no cancel scope knows;
    this raises that of the scope.
    """
    task = asyncio.current_task()
    if task is None or task.cancelling():
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise asyncio.CancelledError


class TunnelStream(httpcore.AsyncNetworkStream):
    """Bytes to and from a backend server over an open call."""

    def __init__(self, call: Call) -> None:
        """Takes ownership of a call whose first answer has arrived."""
        self._call = call
        # How the server's side ended, which old builds tell by the call's end.
        self._end = tunnel_pb2.Chunk.NONE

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads the next bytes, b"" at the end of the connection.

        Raises:
          httpcore.ReadTimeout: nothing arrived within the timeout.
          httpcore.ReadError: the connection or the path through the peer
            broke.
        """
        try:
            with anyio.fail_after(timeout):
                if self._end == tunnel_pb2.Chunk.NONE:
                    chunk = await self._call.read()
                    if isinstance(chunk, tunnel_pb2.Chunk):
                        self._end = chunk.end
                        if chunk.data:
                            return bytes(chunk.data)
                if self._end == tunnel_pb2.Chunk.BROKEN:
                    raise httpcore.ReadError("the connection broke")
                if self._end == tunnel_pb2.Chunk.CLOSED:
                    return b""
                code = await self._call.code()
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error
        except (grpc.aio.AioRpcError, grpc.aio.UsageError) as error:
            raise httpcore.ReadError(type(error).__name__) from error
        except asyncio.CancelledError as error:
            await raise_if_cancelled()
            raise httpcore.ReadError("channel closed") from error
        if code is not grpc.StatusCode.OK:
            raise httpcore.ReadError(f"tunnel {code.name}")
        return b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes the complete buffer.

        Raises:
          httpcore.WriteTimeout: the buffer was not written in time.
          httpcore.WriteError: the connection broke.
        """
        try:
            with anyio.fail_after(timeout):
                for start in range(0, len(buffer), _MAX_CHUNK_BYTES):
                    data = buffer[start : start + _MAX_CHUNK_BYTES]
                    await self._write_chunk(tunnel_pb2.Chunk(data=data))
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except _WRITE_ERRORS as error:
            raise httpcore.WriteError(type(error).__name__) from error
        except asyncio.CancelledError as error:
            await raise_if_cancelled()
            raise httpcore.WriteError("channel closed") from error

    async def _write_chunk(self, chunk: tunnel_pb2.Chunk) -> None:
        """Writes a chunk; the write goes on if this is cancelled.

        gRPC ends the call when a write is cancelled, and so loses an answer
        that came before the request was written.
        """
        writing = asyncio.ensure_future(self._call.write(chunk))
        writing.add_done_callback(_ignore_outcome)
        await asyncio.shield(writing)

    async def aclose(self) -> None:
        """Closes the connection at both ends."""
        self._call.cancel()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Raises `httpcore.UnsupportedProtocol`: TLS is not supported."""
        raise httpcore.UnsupportedProtocol("tunnels do not support TLS")

    def get_extra_info(self, info: str) -> Any:
        """Returns whether the stream can't be reused, for "is_readable".

        That is always so: whether bytes have arrived is known only to the
        peer. Other keys give None.
        """
        return True if info == "is_readable" else None


def _ignore_outcome(writing: asyncio.Future[None]) -> None:
    """Marks the error of a write as seen, since nobody may wait for it."""
    if not writing.cancelled():
        writing.exception()
