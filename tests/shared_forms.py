"""Describes what daemons of two builds share, for the build on the path.

`test_two_builds_forms` runs this file with each build and compares. It prints
JSON. Called with `read`, it decodes the examples on its standard input and
prints them encoded again.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import enum
import functools
import importlib
import json
import sys
import types
import typing

import attrs
from google.protobuf import descriptor_pb2

from figstream import errors
from figstream import rendezvous
from figstream import serialization
from figstream import software_plan

# Classes of the objects that daemons store, send as notices or pass on.
CLASSES = (
    "blame.BlameDigest",
    "claim_record.ClaimRecord",
    "configuration_shards.Root",
    "configuration_shards.Shard",
    "crash_evidence.Finding",
    "fleet_work.FleetNeed",
    "lease_store.LeaseRecord",
    "limit_announcements.ServerLimit",
    "object_follower.StoredItems",
    "order_book.OrderBook",
    "scaling_orders.ProvidedServers",
    "software_plan.SoftwarePlan",
    "stream_software_spread.BegunStreams",
    "usage_chain.UsageProgress",
    "usage_window.StoredWindow",
    "usage_window.UsageReport",
    "vm_registration.VmEntry",
)
# Names of the kinds of objects and notices, and of leases.
NAMES = (
    "claim_record.RETENTION_S",
    "configuration_store.PREFIX",
    "demand.NOTICE_KIND",
    "fleet_work._KIND",
    "lease_store.PREFIX",
    "leaving_servers.KIND",
    "limit_spread._KIND",
    "ordering_roles.LEASE_PREFIX",
    "scaling_orders.PROVIDED_PREFIX",
    "sealing_notices._KIND",
    "software_planner.PREFIX",
    "software_planner._KIND",
    "software_planner._NAME",
    "stream_software_spread._KIND",
    "stream_software_spread._KEY_HEX_DIGITS",
    "usage_chain.WINDOW_PREFIX",
    "usage_parts.LEASE_NAME",
    "vm_registration.PREFIX",
)
MESSAGES = (
    "configuration",
    "demand",
    "feed",
    "leaving",
    "membership",
    "operator",
    "tunnel",
    "usage",
)
# Fields that both builds fill, so that no example is empty there.
_NEVER_EMPTY = {("Shares", "weights")}
_SAMPLES = 32


def _find(path: str) -> typing.Any:
    module, _, name = path.partition(".")
    return getattr(importlib.import_module(f"figstream.{module}"), name)


def _values(kind: typing.Any) -> Iterator[typing.Any]:
    """Yields values of a type, none of them a usual default."""
    origin, of = typing.get_origin(kind), typing.get_args(kind)
    if origin in {typing.Union, types.UnionType}:
        for item in of:
            yield from _values(item)
    elif origin is tuple and of[-1] is Ellipsis:
        for value in _values(of[0]):
            yield (value,)
        yield ()
    elif origin is tuple:
        yield tuple(next(_values(item)) for item in of)
    elif origin in {frozenset, set}:
        for value in _values(of[0]):
            yield origin([value])
    elif origin and issubclass(origin, Mapping):
        for value in _values(of[1]):
            yield {next(_values(of[0])): value}
        yield {}
    elif attrs.has(kind):
        yield from _instances(kind)
    elif isinstance(kind, type) and issubclass(kind, enum.Enum):
        yield from kind
    else:
        yield {
            bool: True,
            bytes: b"7",
            float: 7.25,
            int: 7,
            str: "seven",
            type(None): None,
            typing.Any: {"seven": [7, None]},
        }[kind]


@functools.cache
def _instances(kind: type) -> tuple[typing.Any, ...]:
    """Returns objects of a class that differ in one field each."""
    hints = typing.get_type_hints(kind)
    values = {
        field.name: [
            value
            for value in _values(hints[field.name])
            if value or (kind.__name__, field.name) not in _NEVER_EMPTY
        ]
        for field in attrs.fields(kind)
        if field.init
    }
    first = {name: items[0] for name, items in values.items()}
    changed = (
        first | {name: value}
        for name, items in values.items()
        for value in items[1:]
    )
    return tuple(
        kind(**{name.lstrip("_"): value for name, value in fields.items()})
        for fields in (first, *changed)
    )


def _fields(
    message: descriptor_pb2.DescriptorProto, scope: str
) -> Iterator[tuple[str, object]]:
    name = f"{scope}.{message.name}"
    for field in message.field:
        form = [field.number, field.type, field.label, field.type_name]
        yield f"{name}.{field.name}", form
    for item in message.nested_type:
        yield from _fields(item, name)
    for kind in message.enum_type:
        yield from _numbers(kind, name)


def _numbers(
    kind: descriptor_pb2.EnumDescriptorProto, scope: str
) -> Iterator[tuple[str, object]]:
    for value in kind.value:
        yield f"{scope}.{kind.name}.{value.name}", value.number


def _messages(name: str) -> Iterator[tuple[str, object]]:
    """Yields fields, numbers and methods with what two sides must agree on."""
    module = importlib.import_module(f"figstream.rpc.{name}_pb2")
    file = descriptor_pb2.FileDescriptorProto.FromString(
        module.DESCRIPTOR.serialized_pb
    )
    for message in file.message_type:
        yield from _fields(message, file.package)
    for kind in file.enum_type:
        yield from _numbers(kind, file.package)
    for service in file.service:
        for method in service.method:
            form = [
                method.input_type,
                method.output_type,
                method.client_streaming,
                method.server_streaming,
            ]
            yield f"{file.package}.{service.name}.{method.name}", form


def _results() -> Iterator[tuple[str, object]]:
    """Yields what daemons compute alike without exchanging it."""
    weights = {"v1": 3, "v2": 5, "v3": 1}
    for number in range(_SAMPLES):
        name = f"r{number}"
        yield f"assign {name}", software_plan.assign(name, weights)
        yield f"rank {name}", rendezvous.rank("role", ["a", "b", name])


def _existing(paths: Iterable[str]) -> Iterator[tuple[str, typing.Any]]:
    for path in paths:
        try:
            yield path, _find(path)
        except (AttributeError, ModuleNotFoundError):
            # Not in the other build.
            continue


def describe() -> dict[str, typing.Any]:
    """Returns examples, names, messages and results of this build."""
    return {
        "examples": {
            path: [
                serialization.to_json(item).decode()
                for item in _instances(found)
            ]
            for path, found in _existing(CLASSES)
        },
        "names": dict(_existing(NAMES)),
        "messages": dict(item for name in MESSAGES for item in _messages(name)),
        "results": dict(_results()),
    }


def read(examples: Mapping[str, list[str]]) -> dict[str, list[str]]:
    """Returns examples as this build writes them again, or why it can't."""
    return {
        path: [_read_one(text, _find(path)) for text in texts]
        for path, texts in examples.items()
    }


def _read_one(text: str, kind: type[object]) -> str:
    try:
        found = serialization.from_json(text, kind)
    except errors.ConfigurationError as error:
        return str(error)
    return serialization.to_json(found).decode()


def main() -> None:
    """Prints a description, or what was read."""
    if sys.argv[1:] == ["read"]:
        print(json.dumps(read(json.load(sys.stdin))))
    else:
        print(json.dumps(describe()))


if __name__ == "__main__":
    main()
