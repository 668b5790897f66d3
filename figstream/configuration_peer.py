"""Implements the gRPC client and servicer that transfer the configuration.

Daemons announce their generation to peers and pull missing shards from them.
"""

from collections.abc import AsyncIterator
from collections.abc import Mapping
from typing import Final
from typing import Protocol

import attrs
import grpc

from figstream import configuration_shards as shards_lib
from figstream import errors
from figstream import membership_api
from figstream import serialization
from figstream.rpc import configuration_pb2
from figstream.rpc import configuration_pb2_grpc

# One heartbeat interval.
ANNOUNCE_TIMEOUT_S: Final = 1.0
# Long enough to transfer a complete configuration of a megabyte.
_PULL_TIMEOUT_S: Final = 5.0

Status = configuration_pb2.GenerationStatus


@attrs.frozen
class PulledSnapshot:
    """A snapshot received from a peer.

    Attributes:
      snapshot: a higher generation, completed with the shards that the
        receiver already had.
      confirmed_age_s: seconds since the peer's generation was last confirmed
        as the newest.
    """

    snapshot: shards_lib.Snapshot
    confirmed_age_s: float


async def announce(
    members: membership_api.Members,
    member: membership_api.Member,
    status: Status,
) -> Status | None:
    """Sends a status to a peer.

    Returns:
      The status of the peer, or None if the call failed or timed out.
    """
    stub = configuration_pb2_grpc.ConfigurationSpreadStub(
        members.channel(member)
    )
    try:
        answer: Status = await stub.Announce(status, timeout=ANNOUNCE_TIMEOUT_S)
    except grpc.aio.AioRpcError:
        return None
    return answer


async def pull(
    members: membership_api.Members,
    member: membership_api.Member,
    known: shards_lib.Snapshot,
) -> PulledSnapshot | None:
    """Requests the shards of a higher generation from a peer.

    Returns:
      The complete snapshot. None if the peer has no higher generation, the
      call failed, or the answer was incomplete or not decodable.
    """
    stub = configuration_pb2_grpc.ConfigurationSpreadStub(
        members.channel(member)
    )
    request = configuration_pb2.PullRequest(generation=known.root.generation)
    try:
        parts = stub.Pull(request, timeout=_PULL_TIMEOUT_S)
        return await _receive_snapshot(parts, known.bodies)
    except (grpc.aio.AioRpcError, errors.ConfigurationError):
        return None


async def _receive_snapshot(
    parts: AsyncIterator[configuration_pb2.PullPart],
    known: Mapping[str, bytes],
) -> PulledSnapshot | None:
    bodies = dict(known)
    root_part: configuration_pb2.RootPart | None = None
    async for part in parts:
        if part.HasField("root"):
            root_part = part.root
        elif shards_lib.digest(part.shard.body) == shards_lib.digest_from_name(
            part.shard.name
        ):
            bodies[part.shard.name] = part.shard.body
    if root_part is None:
        return None
    root = serialization.from_json(root_part.body, shards_lib.Root)
    if any(name not in bodies for name in root.shards):
        return None
    needed = {name: bodies[name] for name in root.shards}
    return PulledSnapshot(
        shards_lib.Snapshot(root, needed), root_part.confirmed_age_s
    )


@attrs.frozen
class PullResponse:
    """The root and the shards that a peer lacks, by shard name."""

    root: configuration_pb2.RootPart
    bodies: Mapping[str, bytes]


class PeerCallHandler(Protocol):
    """Handles the calls of peers."""

    def receive(self, status: Status) -> Status:
        """Receives the status of a peer; returns the one of this daemon."""

    def pull_response(self, generation: int) -> PullResponse | None:
        """Returns the root and the shards that a lower generation lacks.

        Returns None if the given generation is not lower.
        """


class PeerServicer(configuration_pb2_grpc.ConfigurationSpreadServicer):
    """gRPC servicer that delegates the calls of peers to a handler."""

    def __init__(self, handler: PeerCallHandler) -> None:
        """Initializes the servicer with its handler."""
        self._handler = handler

    async def Announce(  # noqa: N802
        self, request: Status, context: object
    ) -> Status:
        """Receives the status of a peer; returns the one of this daemon."""
        return self._handler.receive(request)

    async def Pull(  # noqa: N802
        self, request: configuration_pb2.PullRequest, context: object
    ) -> AsyncIterator[configuration_pb2.PullPart]:
        """Sends the root and the shards that the calling peer lacks."""
        response = self._handler.pull_response(request.generation)
        if response is None:
            return
        yield configuration_pb2.PullPart(root=response.root)
        for name, body in response.bodies.items():
            shard = configuration_pb2.ShardPart(name=name, body=body)
            yield configuration_pb2.PullPart(shard=shard)
