"""Compares target sizes of configuration shards at the planned fleet size.

For each target size the benchmark prints the bytes that one change makes the
platform and each daemon transfer (the new shard and the new root), and the
processor time of splitting the configuration into shards and of assembling
the configuration again after the change.
"""

from collections.abc import Callable
import random
import time
from typing import Final
from typing import TypeVar

import attrs

from figstream import api_key
from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import configuration_shards
from figstream import customer as customer_lib
from figstream import serialization

_T = TypeVar("_T")
_CUSTOMERS: Final = 700
_KEYS_PER_CUSTOMER: Final = 3
_SERVERS: Final = 920
_MODELS: Final = 10
_ZONES: Final = 8
_TARGETS_BYTES: Final = (2_000, 4_000, 16_000, 64_000, 250_000)
_CHANGES_PER_DAY: Final = 1_300
_DAY_S: Final = 86_400
_ACCEPTED_WRITES: Final = 64
_SEED: Final = 20261203


def _make_planned_configuration() -> configuration_lib.Configuration:
    rng = random.Random(_SEED)
    names = [f"customer-{index:04}" for index in range(_CUSTOMERS)]
    keys = tuple(
        api_key.KeyRecord(
            f"{rng.getrandbits(48):012x}",
            name,
            f"{rng.getrandbits(128):032x}",
            f"{rng.getrandbits(256):064x}",
        )
        for name in names
        for _ in range(_KEYS_PER_CUSTOMER)
    )
    servers = tuple(
        backend_server.BackendServer(
            f"engine-{index:04}",
            f"http://10.0.{index // 250}.{index % 250}:8000",
            f"zone-{index % _ZONES}",
            models=(f"model-{index % _MODELS}",),
        )
        for index in range(_SERVERS)
    )
    customers = tuple(customer_lib.Customer(name) for name in names)
    return configuration_lib.Configuration(1, customers, keys, (), servers)


def _timed(call: Callable[[], _T]) -> tuple[_T, float]:
    started_at = time.process_time()
    result = call()
    return result, 1000 * (time.process_time() - started_at)


def _print_row(old: configuration_lib.Configuration, target_bytes: int) -> None:
    accepted = tuple(
        configuration_shards.AcceptedWrite(index, f"{index:032x}")
        for index in range(_ACCEPTED_WRITES)
    )
    first = configuration_shards.snapshot(
        old, configuration_shards.Root(), accepted, target_bytes
    )
    withdrawn = attrs.evolve(old.keys[0], withdrawn=True)
    new = attrs.evolve(old, generation=2, keys=(withdrawn, *old.keys[1:]))
    second, split_ms = _timed(
        lambda: configuration_shards.snapshot(
            new, first.root, accepted, target_bytes
        )
    )
    assembler = configuration_shards.Assembler()
    _, assemble_ms = _timed(lambda: assembler.assemble(first))
    _, reassemble_ms = _timed(lambda: assembler.assemble(second))
    root_bytes = len(serialization.to_json(second.root))
    added = [
        body for name, body in second.bodies.items() if name not in first.bodies
    ]
    change_bytes = root_bytes + sum(map(len, added))
    rate = change_bytes * _CHANGES_PER_DAY / _DAY_S
    print(
        f"{target_bytes:8}{len(second.bodies):8}{root_bytes:8}{change_bytes:10}"
        f"{rate:10.0f}{split_ms:8.1f}{assemble_ms:10.1f}{reassemble_ms:10.1f}"
    )


def main() -> None:
    """Prints one row for each target size of a shard."""
    planned = _make_planned_configuration()
    total_bytes = sum(len(body) for body in configuration_shards.split(planned))
    print(
        f"{_CUSTOMERS} customers, {len(planned.keys)} keys, {_SERVERS} backend "
        f"servers: {total_bytes} bytes"
    )
    print(
        "  target  shards  root B  change B   B/s day  cut ms  whole ms "
        "change ms"
    )
    for target_bytes in _TARGETS_BYTES:
        _print_row(planned, target_bytes)
