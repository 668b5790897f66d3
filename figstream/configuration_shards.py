"""Splits a configuration into content-addressed shards and a root.

A change affects few shards, so few bytes are written to the platform and sent
to peers. The name of a shard consists of the generation that introduced it and
the digest of its bytes; the root lists the names.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
import itertools
from typing import Final

import attrs
import xxhash

from figstream import api_key
from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import errors
from figstream import platform_api
from figstream import request_class as request_class_lib
from figstream import route as route_lib
from figstream import serialization

# A change of one item rewrites a shard of about this size.
SHARD_TARGET_BYTES: Final = 16_000
# At the target size of a shard, sixteen megabytes for each kind of item.
_MAX_SHARDS_PER_KIND: Final = 1024
# Hexadecimal digits, which make 128 bits.
_DIGEST_CHARS: Final = 32


@attrs.frozen
class Shard:
    """The items of a configuration that hash to one shard.

    Attributes:
      customers: customers whose names hash to the shard.
      keys: keys whose ids hash to the shard.
      classes: request classes whose names hash to the shard.
      routes: routes whose prefixes hash to the shard.
      servers: backend servers whose names hash to the shard.
    """

    customers: tuple[customer_lib.Customer, ...] = ()
    keys: tuple[api_key.KeyRecord, ...] = ()
    classes: tuple[request_class_lib.RequestClass, ...] = ()
    routes: tuple[route_lib.Route, ...] = ()
    servers: tuple[backend_server.BackendServer, ...] = ()


@attrs.frozen
class AcceptedWrite:
    """The generation that an accepted change created, and its write id."""

    generation: int
    write_id: str


@attrs.frozen
class Root:
    """The list of the shards that make up a generation.

    Attributes:
      generation: rises by one with each accepted change.
      default_class: request class of requests that name none.
      shards: names of the shards.
      accepted: the latest accepted changes, newest last, so that a writer
        whose answer was lost can find out whether its change was accepted.
    """

    generation: int = 0
    default_class: str = ""
    shards: tuple[str, ...] = ()
    accepted: tuple[AcceptedWrite, ...] = ()


@attrs.frozen
class Snapshot:
    """A root and the bytes of all its shards by name."""

    root: Root = Root()
    bodies: Mapping[str, bytes] = attrs.field(factory=dict)


def digest(body: bytes) -> str:
    """Returns the digest by which a shard is addressed."""
    return hashlib.sha256(body).hexdigest()[:_DIGEST_CHARS]


def digest_from_name(name: str) -> str:
    """Returns the digest that is part of the name of a shard."""
    return name.rpartition("/")[2]


def shard_name(generation: int, body: bytes) -> str:
    """Returns the name of a shard that a generation introduces."""
    return f"{generation}/{digest(body)}"


def generation_from_name(name: str) -> int:
    """Returns the generation that introduced a shard."""
    return int(name.partition("/")[0])


def split(
    configuration: configuration_lib.Configuration,
    target_bytes: int = SHARD_TARGET_BYTES,
) -> Sequence[bytes]:
    """Splits a configuration into the encoded bodies of its shards.

    Raises:
      errors.ConfigurationError: a shard is too large for the platform, since
        one of its items is.
    """
    kinds = (
        Shard(customers=configuration.customers),
        Shard(keys=configuration.keys),
        Shard(classes=configuration.classes, routes=configuration.routes),
        Shard(servers=configuration.servers),
    )
    bodies = [
        body for kind in kinds for body in _split_kind(kind, target_bytes)
    ]
    if any(len(body) > platform_api.MAX_OBJECT_BYTES for body in bodies):
        raise errors.ConfigurationError(
            "an entry exceeds a megabyte; shorten its lists"
        )
    return bodies


def snapshot(
    configuration: configuration_lib.Configuration,
    previous: Root,
    accepted: Sequence[AcceptedWrite],
    target_bytes: int = SHARD_TARGET_BYTES,
) -> Snapshot:
    """Splits a configuration; unchanged shards keep their previous names.

    Raises:
      errors.ConfigurationError: a shard is too large for the platform, since
        one of its items is.
    """
    known = {digest_from_name(name): name for name in previous.shards}
    bodies = {
        known.get(digest(body))
        or shard_name(configuration.generation, body): body
        for body in split(configuration, target_bytes)
    }
    root = Root(
        configuration.generation,
        configuration.default_class,
        tuple(bodies),
        tuple(accepted),
    )
    return Snapshot(root, bodies)


class Assembler:
    """Assembles configurations and caches the decoded shards in use."""

    def __init__(self) -> None:
        """Initializes an empty cache."""
        self._decoded: dict[str, Shard] = {}

    def assemble(self, found: Snapshot) -> configuration_lib.Configuration:
        """Returns the configuration of a root and its shards.

        Raises:
          errors.ConfigurationError: a shard is missing or can't be decoded.
        """
        self._decoded = {
            name: self._decoded.get(name) or _decode(found, name)
            for name in found.root.shards
        }
        shards = self._decoded.values()
        chain = itertools.chain.from_iterable
        customers = sorted(
            chain(shard.customers for shard in shards),
            key=lambda item: item.name,
        )
        keys = sorted(
            chain(shard.keys for shard in shards), key=lambda item: item.key_id
        )
        classes = sorted(
            chain(shard.classes for shard in shards),
            key=lambda item: item.name,
        )
        servers = sorted(
            chain(shard.servers for shard in shards),
            key=lambda item: item.name,
        )
        routes = sorted(
            chain(shard.routes for shard in shards),
            key=lambda item: item.prefix,
        )
        return configuration_lib.Configuration(
            found.root.generation,
            tuple(customers),
            tuple(keys),
            tuple(classes),
            tuple(servers),
            tuple(routes),
            found.root.default_class,
        )


def assemble(found: Snapshot) -> configuration_lib.Configuration:
    """Returns the configuration of a snapshot, without a cache.

    Raises:
      errors.ConfigurationError: a shard is missing or can't be decoded.
    """
    return Assembler().assemble(found)


def _decode(found: Snapshot, name: str) -> Shard:
    if name not in found.bodies:
        raise errors.ConfigurationError(
            f"shard {name!r} is missing; read the root again"
        )
    return serialization.from_json(found.bodies[name], Shard)


def _split_kind(items: Shard, target_bytes: int) -> Iterable[bytes]:
    if items == Shard():
        return ()
    encoded = serialization.to_json(items)
    min_count = -(-len(encoded) // target_bytes)
    shard_count = min(_MAX_SHARDS_PER_KIND, 1 << (min_count - 1).bit_length())
    if shard_count == 1:
        return (encoded,)
    split_shards = (
        _select_items(items, shard_index, shard_count)
        for shard_index in range(shard_count)
    )
    return [
        serialization.to_json(split_shard)
        for split_shard in split_shards
        if split_shard != Shard()
    ]


def _select_items(items: Shard, shard_index: int, shard_count: int) -> Shard:
    def in_shard(key: str) -> bool:
        return (
            xxhash.xxh3_64_intdigest(key.encode()) % shard_count == shard_index
        )

    return Shard(
        customers=tuple(c for c in items.customers if in_shard(c.name)),
        keys=tuple(k for k in items.keys if in_shard(k.key_id)),
        classes=tuple(c for c in items.classes if in_shard(c.name)),
        routes=tuple(r for r in items.routes if in_shard(r.prefix)),
        servers=tuple(s for s in items.servers if in_shard(s.name)),
    )
