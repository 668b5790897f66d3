"""Transfers stored objects between daemons in blocks.

A time limit for a whole transfer can't tell a slow link from a silent peer. An
answer therefore carries only the first block of its content; the receiver
fetches the others one by one, each with a time limit. What has arrived is kept
when one is missed, so that the next answer with the same content goes on there.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Final

import grpc
import xxhash

from figstream import bounded_records
from figstream import errors
from figstream import object_content
from figstream import platform_api
from figstream.rpc import feed_pb2
from figstream.rpc import feed_pb2_grpc

_BLOCK_BYTES: Final = 16_384
# A link of 5 Mbit/s carries a block for each of forty receivers in that time.
_BLOCK_TIMEOUT_S: Final = 1.0
# Contents that peers may still fetch; more than the changes during a transfer.
_MAX_CONTENTS: Final = 24
# Unfinished contents that a receiver keeps.
_MAX_UNFINISHED: Final = 4
_MAX_PROOF_AGE_S: Final = 1e9
_MS_PER_S: Final = 1000


class _Servicer(feed_pb2_grpc.ContentBlocksServicer):
    def __init__(self, transfer: "ObjectTransfer") -> None:
        self._transfer = transfer

    async def Read(  # noqa: N802
        self, request: feed_pb2.BlockRequest, context: object
    ) -> feed_pb2.Block:
        return self._transfer.read_block(request)


class ObjectTransfer:
    """What one daemon sends and receives; satisfies `RpcRole`."""

    def __init__(self) -> None:
        """Initializes without objects."""
        self._large = object_content.LargeObjects()
        # Compressed contents by their hash, for peers that fetch the rest.
        self._contents: dict[int, bytes] = {}
        # The first bytes of contents that this daemon fetches.
        self._unfinished: dict[int, bytes] = {}

    def register(self, server: grpc.aio.Server) -> None:
        """Registers the gRPC service on the peer server."""
        feed_pb2_grpc.add_ContentBlocksServicer_to_server(
            _Servicer(self), server
        )

    async def run(self) -> None:
        """Returns at once, since the role only answers calls."""

    async def hand_over(self) -> None:
        """Does nothing, since this role has nothing to hand over."""

    def note(
        self, kind: str, items: Mapping[str, platform_api.StoredItem]
    ) -> None:
        """Records all objects of a kind that this daemon has."""
        self._large.note(kind, items)

    def versions(self, kind: str) -> list[feed_pb2.ObjectVersion]:
        """Returns the large objects on which a sender may base a content."""
        return _encode_versions(self._large.versions(kind))

    def offer(
        self,
        kind: str,
        items: Iterable[platform_api.StoredItem],
        offered: Iterable[feed_pb2.ObjectVersion],
    ) -> feed_pb2.Content:
        """Returns the message that begins a transfer of objects.

        Args:
          kind: kind of the objects.
          items: the objects.
          offered: large objects that the receiver has.
        """
        encoded = self._large.encode(kind, items, _decode_versions(offered))
        data = encoded.data
        content_id = xxhash.xxh3_64_intdigest(data)
        if len(data) > _BLOCK_BYTES:
            bounded_records.put(self._contents, content_id, data, _MAX_CONTENTS)
        return feed_pb2.Content(
            bases=_encode_versions(encoded.bases),
            id=content_id,
            size_bytes=len(data),
            start=data[:_BLOCK_BYTES],
        )

    def read_block(self, request: feed_pb2.BlockRequest) -> feed_pb2.Block:
        """Returns the block of a content at an offset."""
        data = self._contents.get(request.id, b"")
        end = request.offset + _BLOCK_BYTES
        return feed_pb2.Block(data=data[request.offset : end])

    async def receive(
        self,
        kind: str,
        channel: grpc.aio.Channel,
        content: feed_pb2.Content,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> tuple[platform_api.StoredItem, ...]:
        """Returns the objects whose transfer a message began.

        Args:
          kind: kind of the objects.
          channel: channel to the daemon that sent the message.
          content: the message.
          on_part: receives the size of each part as it arrives.

        Raises:
          grpc.aio.AioRpcError: the daemon did not answer in time.
          errors.ConfigurationError: the content can't be read.
        """
        if content.size_bytes > object_content.MAX_CONTENT_BYTES:
            raise errors.ConfigurationError(
                f"the objects have {content.size_bytes} bytes; at most "
                f"{object_content.MAX_CONTENT_BYTES} are read"
            )
        on_part(len(content.start))
        data = await self._read_rest(channel, content, on_part)
        encoded = object_content.EncodedObjects(
            data, _decode_versions(content.bases)
        )
        return self._large.decode(kind, encoded)

    async def _read_rest(
        self,
        channel: grpc.aio.Channel,
        content: feed_pb2.Content,
        on_part: platform_api.PartListener,
    ) -> bytes:
        stub = feed_pb2_grpc.ContentBlocksStub(channel)
        data = self._unfinished.pop(content.id, content.start)
        while len(data) < content.size_bytes:
            bounded_records.put(
                self._unfinished, content.id, data, _MAX_UNFINISHED
            )
            request = feed_pb2.BlockRequest(id=content.id, offset=len(data))
            block: feed_pb2.Block = await stub.Read(
                request, timeout=_BLOCK_TIMEOUT_S
            )
            if not block.data:
                raise errors.ConfigurationError(
                    "the peer no longer has the objects as they were offered"
                )
            on_part(len(block.data))
            data += block.data
        self._unfinished.pop(content.id, None)
        return data


def proof_ms(confirmed_at: float, arrived_at: float) -> int:
    """Returns a proof as the field `proof_ms` of an answer.

    Args:
      confirmed_at: clock time at which nothing was newer.
      arrived_at: clock time at which the request arrived.
    """
    # An infinite age has no number.
    proven_s = max(confirmed_at - arrived_at, -_MAX_PROOF_AGE_S)
    return math.floor(proven_s * _MS_PER_S)


def _encode_versions(
    versions: Iterable[object_content.ObjectVersion],
) -> list[feed_pb2.ObjectVersion]:
    return [
        feed_pb2.ObjectVersion(name=item.name, version=item.version)
        for item in versions
    ]


def _decode_versions(
    messages: Iterable[feed_pb2.ObjectVersion],
) -> tuple[object_content.ObjectVersion, ...]:
    return tuple(
        object_content.ObjectVersion(item.name, item.version)
        for item in messages
    )
