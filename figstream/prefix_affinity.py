"""Records which backend server last ran a request with a prompt prefix.

Server selection prefers that server, since its cache probably contains the
prefix. The record is only a hint: engines evict prefixes without timely
notification, so the table is bounded and evicts the least recently used.
"""

import collections
from typing import Final

# A full table takes about two megabytes.
_MAX_PREFIXES: Final = 16384


class PrefixAffinity:
    """A bounded table of the server that last ran each prefix."""

    def __init__(self, capacity: int = _MAX_PREFIXES) -> None:
        """Initializes a table of at most the given number of prefixes."""
        self._capacity = capacity
        self._servers: collections.OrderedDict[int, str] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of prefixes in the table."""
        return len(self._servers)

    def server(self, prefix: int) -> str | None:
        """Returns the server that last ran the prefix, if known."""
        return self._servers.get(prefix) if prefix else None

    def record_server(self, prefix: int, server: str) -> None:
        """Records that a server runs a request with the prefix."""
        if not prefix:
            return
        self._servers[prefix] = server
        self._servers.move_to_end(prefix)
        if len(self._servers) > self._capacity:
            self._servers.popitem(last=False)
