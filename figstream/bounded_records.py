"""Adds to records of bounded number, from which the oldest go first."""

from typing import TypeVar

_K = TypeVar("_K")
_V = TypeVar("_V")


def put(records: dict[_K, _V], key: _K, value: _V, limit: int) -> None:
    """Adds a record as the newest and evicts the oldest beyond the limit."""
    records.pop(key, None)
    records[key] = value
    while len(records) > limit:
        del records[next(iter(records))]
