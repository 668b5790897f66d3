"""Remembers which backend servers hold the head of a prompt in their cache.

A preference only: engines evict prefixes without telling in time, so the
table is bounded and forgets what was used longest ago.
"""

import collections
from typing import Final

# Prefixes kept; about two megabytes.
_MAX_PREFIXES: Final = 16384


class PrefixAffinity:
    """The server that last ran each prefix, for the latest prefixes."""

    def __init__(self, capacity: int = _MAX_PREFIXES) -> None:
        """Keeps at most the given number of prefixes."""
        self._capacity = capacity
        self._servers: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of prefixes kept."""
        return len(self._servers)

    def server(self, prefix: int) -> str | None:
        """Returns the server that last ran the prefix, if known."""
        return self._servers.get(prefix) if prefix else None

    def remember(self, prefix: int, server: str) -> None:
        """Takes note that a server runs a request with the prefix."""
        if not prefix:
            return
        self._servers[prefix] = server
        self._servers.move_to_end(prefix)
        if len(self._servers) > self._capacity:
            self._servers.popitem(last=False)
