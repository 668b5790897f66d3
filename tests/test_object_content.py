"""Tests how objects are encoded and transferred between daemons."""

import random
from typing import Any

import grpc
import pytest

from figstream import errors
from figstream import object_content
from figstream import object_transfer
from figstream import peer_server
from figstream import platform_api
from figstream.rpc import feed_pb2
from tests import gateway_parts

_KIND = "config"


def _large(version: int) -> platform_api.StoredItem:
    """Returns an object of which little repeats."""
    random_numbers = random.Random(1)
    rows = [{"n": random_numbers.randrange(1 << 30)} for _ in range(20_000)]
    rows[version]["n"] = -version
    item: platform_api.StoredItem = gateway_parts.item("main", version, rows)
    return item


def _objects_with(*versions: int) -> object_content.LargeObjects:
    """Returns the objects of a daemon that has had some versions."""
    objects = object_content.LargeObjects()
    for version in versions:
        objects.note(_KIND, {"main": _large(version)})
    return objects


def _send(
    sender: object_content.LargeObjects,
    receiver: object_content.LargeObjects,
    item: platform_api.StoredItem,
) -> object_content.EncodedObjects:
    """Sends an object; the receiver must find it equal."""
    encoded = sender.encode(_KIND, [item], receiver.versions(_KIND))
    assert receiver.decode(_KIND, encoded) == (item,)
    return encoded


def test_a_small_change_of_a_large_object_takes_few_bytes() -> None:
    sender, receiver = _objects_with(1, 2, 3), _objects_with(1)
    assert len(_send(sender, receiver, _large(3)).data) < 500


@pytest.mark.parametrize(
    "receiver", [_objects_with(), _objects_with(9)], ids=["nothing", "other"]
)
def test_without_a_version_in_common_the_whole_object_is_sent(
    receiver: object_content.LargeObjects,
) -> None:
    encoded = _send(_objects_with(1, 2), receiver, _large(2))
    assert encoded.bases == ()


def test_versions_that_a_receiver_may_still_have_are_kept_for_a_while() -> None:
    """Fails if each version replaces the one before as a dictionary."""
    sender, receiver = _objects_with(*range(1, 9)), _objects_with(1)
    assert _send(sender, receiver, _large(8)).bases
    sender.note(_KIND, {"main": _large(9)})
    assert not _send(sender, receiver, _large(9)).bases


def test_small_objects_are_no_dictionaries() -> None:
    objects = object_content.LargeObjects()
    items = {f"s{n}": gateway_parts.item(f"s{n}", n) for n in range(900)}
    objects.note("servers", items)
    assert objects.versions("servers") == ()
    encoded = objects.encode("servers", items.values(), ())
    assert objects.decode("servers", encoded) == tuple(items.values())


def _with_other_base() -> tuple[
    object_content.LargeObjects, object_content.EncodedObjects
]:
    receiver = _objects_with()
    other = gateway_parts.item("main", 1, ["other"] * 9_000)
    receiver.note(_KIND, {"main": other})
    sender = _objects_with(1, 2)
    return receiver, sender.encode(_KIND, [_large(2)], receiver.versions(_KIND))


def _with_base_dropped() -> tuple[
    object_content.LargeObjects, object_content.EncodedObjects
]:
    base = _objects_with(1).versions(_KIND)
    encoded = _objects_with(1, 2).encode(_KIND, [_large(2)], base)
    return _objects_with(), encoded


def _with_bytes(data: bytes) -> Any:
    return lambda: (_objects_with(), object_content.EncodedObjects(data))


@pytest.mark.parametrize(
    "make",
    [
        _with_other_base,
        _with_base_dropped,
        _with_bytes(b""),
        _with_bytes(b"no objects"),
        _with_bytes(object_content._compress(b"[[1]]", None)),
        _with_bytes(object_content._compress(b'[[2,"a",3]]', None)),
        _with_bytes(object_content._compress(b"{", None)),
        _with_bytes(object_content._compress(b" " * 17_000_000, None)),
    ],
)
def test_what_is_no_content_for_a_receiver_is_an_error(make: Any) -> None:
    receiver, encoded = make()
    with pytest.raises(errors.ConfigurationError):
        receiver.decode(_KIND, encoded)


@pytest.mark.anyio
async def test_a_transfer_goes_on_where_a_missed_block_ended_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Fails if a transfer that was cut off begins anew."""
    sender, receiver = (object_transfer.ObjectTransfer() for _ in range(2))
    item = _large(1)
    content = sender.offer(_KIND, [item], ())
    assert content.size_bytes > 3 * len(content.start)
    read = sender.read_block
    offsets: list[int] = []

    def read_or_fail(request: feed_pb2.BlockRequest) -> feed_pb2.Block:
        offsets.append(request.offset)
        if len(offsets) == 3:
            raise RuntimeError("the answer is lost")
        return read(request)

    monkeypatch.setattr(sender, "read_block", read_or_fail)
    server = peer_server.PeerServer("127.0.0.1", 0)
    await server.start([sender])
    async with grpc.aio.insecure_channel(server.address) as channel:
        with pytest.raises(grpc.aio.AioRpcError):
            await receiver.receive(_KIND, channel, content)
        parts: list[int] = []
        found = await receiver.receive(_KIND, channel, content, parts.append)
    await server.stop()
    assert found == (item,)
    assert offsets[2] == offsets[3]
    assert offsets == sorted(offsets)
    assert len(parts) == len(offsets) - 2


@pytest.mark.anyio
async def test_a_content_that_a_peer_has_dropped_is_an_error() -> None:
    sender, receiver = (object_transfer.ObjectTransfer() for _ in range(2))
    content = sender.offer(_KIND, [_large(1)], ())
    sender._contents.clear()
    server = peer_server.PeerServer("127.0.0.1", 0)
    await server.start([sender])
    async with grpc.aio.insecure_channel(server.address) as channel:
        with pytest.raises(errors.ConfigurationError):
            await receiver.receive(_KIND, channel, content)
    await server.stop()
