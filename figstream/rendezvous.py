"""Rendezvous hashing: assigns roles to names without communication.

Every daemon ranks the same names for a role in the same order. A name that is
added or removed moves only the roles that it wins or had.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

_SEPARATOR: Final = "\x00"


def score(role: str, name: str) -> int:
    """Returns the 64-bit score of a name for a role."""
    return xxhash.xxh3_64_intdigest(f"{role}{_SEPARATOR}{name}".encode())


def rank(role: str, names: Iterable[str]) -> list[str]:
    """Returns the names by descending score, equal scores by name."""
    return sorted(names, key=lambda name: (-score(role, name), name))
