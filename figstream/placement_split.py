"""Separates decode-heavy from prefill-heavy requests on different servers.

Prefill of a long prompt delays every stream that the same server decodes, so
a stream with a low limit on the time between tokens misses that limit beside
long prompts. `placement` therefore prefers some servers of a pool for
decode-heavy request classes and the others for prefill-heavy ones. Their
number follows from the recent work of this daemon. Hashes of the server names
decide which ones they are, so that daemons agree without communication.
"""

import math
from typing import Final

import attrs
import xxhash

from figstream import scheduler_api

# Engines read about 80 prompt tokens per millisecond.
_READ_MS: Final = 0.012
# A decode step of some 6 ms generates a token for about 30 requests.
_GENERATE_MS: Final = 0.2
# Generated tokens per prompt token from which a class counts as decode-heavy.
# Long answers to short prompts have 0.5, short answers to long prompts 0.02.
_GENERATES: Final = 0.125
# Past work loses most of its weight in this time, which is longer than a burst
# and shorter than hourly changes of the load.
_MEMORY_S: Final = 20.0
# With fewer requests a split would be arbitrary.
_LEAST_SEEN: Final = 20.0
# Smaller changes of the share are the noise of a few dozen requests and move no
# servers.
_LEAST_CHANGE: Final = 0.06
# If one group has a smaller share of the work, a server of its own is no use.
_LEAST_SHARE: Final = 0.06
# In smaller pools a group would depend on a single server.
_LEAST_SERVERS: Final = 6
_LEAST_SIDE: Final = 2
# Weight of the newest request in the means of its request class.
_SMOOTHING: Final = 0.1
# Bounds the cache of groups.
_MAX_SIDES: Final = 16


@attrs.define
class _ClassWork:
    """Mean token counts per request of a request class."""

    read: float
    generated: float

    @property
    def generates(self) -> bool:
        """Returns whether the class is decode-heavy."""
        return self.generated > _GENERATES * self.read


@attrs.frozen
class _Sides:
    """Names of the servers for decode-heavy and prefill-heavy requests."""

    generating: frozenset[str]
    reading: frozenset[str]


class WorkSplit:
    """Divides the servers of a pool between decode and prefill."""

    def __init__(self) -> None:
        """Initializes without a split."""
        self._classes: dict[str, _ClassWork] = {}
        self._work_ms = {True: 0.0, False: 0.0}
        self._seen = 0.0
        self._updated_at = 0.0
        self._share = 0.0
        self._sides: dict[tuple[frozenset[str], int], _Sides] = {}

    def observe(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Records the work of a request and updates the split."""
        read = request.prompt_tokens - request.shared_tokens
        generated = request.max_output_tokens
        if read <= 0 or generated <= 0:
            return
        name = request.request_class.name
        work = self._classes.setdefault(name, _ClassWork(read, generated))
        work.read += _SMOOTHING * (read - work.read)
        work.generated += _SMOOTHING * (generated - work.generated)
        kept = math.exp(-max(0.0, now - self._updated_at) / _MEMORY_S)
        self._updated_at = now
        self._seen = self._seen * kept + 1.0
        for side in self._work_ms:
            self._work_ms[side] *= kept
        spent_ms = read * _READ_MS + generated * _GENERATE_MS
        self._work_ms[work.generates] += spent_ms
        self._update_share()

    def generates(self, request: scheduler_api.PendingRequest) -> bool:
        """Returns whether a request belongs to a decode-heavy class."""
        work = self._classes.get(request.request_class.name)
        return work is not None and work.generates

    def side(
        self, names: frozenset[str], request: scheduler_api.PendingRequest
    ) -> frozenset[str]:
        """Returns the servers for a request; all servers without a split."""
        count = self._count(len(names))
        if not count or request.max_output_tokens <= 0:
            return names
        sides = self._sides_of(names, count)
        return sides.generating if self.generates(request) else sides.reading

    def _count(self, servers: int) -> int:
        """Returns how many of the servers are for decode; 0 without a split."""
        if servers < _LEAST_SERVERS or not self._share:
            return 0
        count = max(_LEAST_SIDE, round(self._share * servers))
        return min(count, servers - _LEAST_SIDE)

    def _update_share(self) -> None:
        if self._seen < _LEAST_SEEN:
            return
        share = self._work_ms[True] / sum(self._work_ms.values())
        if not _LEAST_SHARE <= share <= 1.0 - _LEAST_SHARE:
            share = 0.0
        if abs(share - self._share) >= _LEAST_CHANGE:
            self._share = share

    def _sides_of(self, names: frozenset[str], count: int) -> _Sides:
        """Returns the groups, as the same sets each time.

        Callers use the sets as keys of their caches.
        """
        found = self._sides.get((names, count))
        if found is None:
            if len(self._sides) >= _MAX_SIDES:
                self._sides.clear()
            ranked = sorted(
                names, key=lambda name: xxhash.xxh3_64_intdigest(name.encode())
            )
            found = self._sides[names, count] = _Sides(
                frozenset(ranked[:count]), frozenset(ranked[count:])
            )
        return found
