"""Counts the requests that run on each backend server, by fingerprint.

The blame tables look here for the requests that ran on a crashed server.
"""

import collections


class ServerRuns:
    """The requests of one daemon that run on backend servers."""

    def __init__(self) -> None:
        """Initializes without running requests."""
        self._counts: dict[str, collections.Counter[int]] = {}

    def add(self, fingerprint: int, server: str) -> int:
        """Adds a run; returns the number of runs on its server."""
        counts = self._counts.setdefault(server, collections.Counter())
        counts[fingerprint] += 1
        return counts.total()

    def remove(self, fingerprint: int, server: str) -> bool:
        """Removes a run; returns whether there was one.

        There is none if the server has crashed since the run began.
        """
        counts = self._counts.get(server)
        if counts is None or not counts[fingerprint]:
            return False
        counts[fingerprint] -= 1
        if not counts[fingerprint]:
            del counts[fingerprint]
        if not counts:
            del self._counts[server]
        return True

    def take(self, server: str) -> collections.Counter[int]:
        """Removes and returns all runs on a server."""
        return self._counts.pop(server, collections.Counter())


def make_server_runs() -> ServerRuns:
    """Creates the runs of a daemon that has not sent requests yet."""
    return ServerRuns()
