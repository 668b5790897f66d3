"""Rendezvous hashing: who takes a role, agreed on without a message.

Every daemon ranks the same names for a role in the same order, and a name
that comes or goes moves only the roles it wins or held.
"""

from collections.abc import Iterable
from typing import Final

import xxhash

_SEPARATOR: Final = "\x00"


def score(role: str, name: str) -> int:
    """Returns the 64-bit score of a name for a role."""
    return xxhash.xxh3_64_intdigest(f"{role}{_SEPARATOR}{name}".encode())


def rank(role: str, names: Iterable[str]) -> list[str]:
    """Returns the names by falling score; ties go by name."""
    return sorted(names, key=lambda name: (-score(role, name), name))
