"""Assigns prompt prefixes to backend servers, the same at every daemon.

`placement` sends requests to the servers that their prefixes are assigned to,
so that the blocks are read once. Every daemon ranks the servers by the same
rendezvous hashes: the first prefix block of a prompt is assigned to a few
servers and the whole shared prefix to one of these. First blocks that many
requests have are hot and are assigned to all servers.
"""

import collections
import math
from typing import Final

import attrs
import xxhash

from figstream import scheduler_api

# Share of the servers that one first prefix block is assigned to.
_ASSIGNED_SHARE: Final = 1 / 3
# At least two, since one assigned server may be down.
_MIN_ASSIGNED_SERVERS: Final = 2
# A first prefix block is hot from `_HOT_SHARE` of the requests in a sample on,
# and no longer hot below `_COLD_SHARE`. The two shares are far apart so that
# daemons agree although their samples differ.
_SAMPLE_REQUESTS: Final = 100
_HOT_SHARE: Final = 0.05
_COLD_SHARE: Final = 0.02
# An assignment of a prefix takes about 200 bytes.
_MAX_ASSIGNMENTS: Final = 8_192
_SEED_MASK: Final = 0xFFFF_FFFF_FFFF_FFFF


@attrs.frozen
class Assignment:
    """The servers that a prompt prefix is assigned to.

    Attributes:
      first: names of the servers that cache the first prefix block.
      whole_prefix: name of the server that caches the whole shared prefix.
      hot: whether the first prefix block is hot, so that requests without
        further blocks use all servers in `first`.
    """

    first: frozenset[str]
    whole_prefix: str
    hot: bool


class _HotBlocks:
    """Detects first prefix blocks that a large share of the requests have.

    Such hot blocks are assigned to all servers. A few hot blocks, each
    assigned to its own third of the servers, would overlap at some servers
    and leave others idle.
    """

    def __init__(self) -> None:
        """Initializes an empty sample without hot blocks."""
        self._counts: collections.Counter[int] = collections.Counter()
        self._sampled = 0
        self._hot: set[int] = set()

    def observe(self, first: int) -> None:
        """Counts a request with the given first prefix block."""
        self._counts[first] += 1
        self._sampled += 1
        if self._sampled >= _SAMPLE_REQUESTS:
            self._evaluate_sample()

    def is_hot(self, first: int) -> bool:
        """Returns whether a first prefix block is assigned to all servers."""
        return first in self._hot

    def _evaluate_sample(self) -> None:
        """Evaluates the sample and starts the next one."""
        for first, count in self._counts.items():
            share = count / self._sampled
            if share >= _HOT_SHARE:
                self._hot.add(first)
            elif share < _COLD_SHARE:
                self._hot.discard(first)
        self._hot &= self._counts.keys()
        self._counts.clear()
        self._sampled = 0


class PrefixAssignments:
    """The assignments of one daemon, which follow from names and prefixes."""

    def __init__(self) -> None:
        """Initializes without hot blocks."""
        self._hot_blocks = _HotBlocks()
        self._assignments: dict[
            tuple[frozenset[str], bool, int, int], Assignment
        ] = {}

    def observe(self, request: scheduler_api.PendingRequest) -> None:
        """Counts the first prefix block of a request that has a prefix."""
        self._hot_blocks.observe(request.first_block)

    def assignment_of(
        self,
        names: frozenset[str],
        request: scheduler_api.PendingRequest,
        *,
        divided: bool = False,
    ) -> Assignment:
        """Returns the servers that a request's prefix is assigned to.

        Args:
          names: the servers for such work.
          request: the request.
          divided: whether the pool is divided by kinds of work. There, prefixes
            of several blocks are spread over all servers from the start, since
            a daemon of many needs half a minute to find out that a few first
            blocks are hot.
        """
        several_blocks = request.shared_tokens > request.first_block_tokens
        hot = (divided and several_blocks) or self._hot_blocks.is_hot(
            request.first_block
        )
        key = names, hot, request.first_block, request.prefix
        found = self._assignments.get(key)
        if found is None:
            if len(self._assignments) >= _MAX_ASSIGNMENTS:
                self._assignments.clear()
            found = self._assignments[key] = _assign(
                names, request.first_block, request.prefix, on_all_servers=hot
            )
        return found


def missing_tokens(
    request: scheduler_api.PendingRequest,
    assigned: Assignment | None,
    name: str,
) -> int:
    """Returns the tokens of the shared prefix that a server lacks."""
    if assigned is None or name == assigned.whole_prefix:
        return 0
    further_tokens = request.shared_tokens - request.first_block_tokens
    # A prefix of a single block is cached by one server only: few requests
    # share it, and it may be as long as the rest of the prompt.
    if name in assigned.first and (further_tokens > 0 or assigned.hot):
        return further_tokens
    return request.shared_tokens


def _assign(
    names: frozenset[str], first: int, prefix: int, *, on_all_servers: bool
) -> Assignment:
    share = 1.0 if on_all_servers else _ASSIGNED_SHARE
    count = max(_MIN_ASSIGNED_SERVERS, math.ceil(len(names) * share))
    ranked = sorted(names, key=lambda name: _weight(name, first))
    assigned = ranked[:count]
    return Assignment(
        frozenset(assigned),
        min(assigned, key=lambda name: _weight(name, prefix)),
        on_all_servers,
    )


def _weight(server: str, block: int) -> int:
    return xxhash.xxh3_64_intdigest(server.encode(), seed=block & _SEED_MASK)
