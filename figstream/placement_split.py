"""Separates decode-heavy from prefill-heavy requests on different servers.

Prefill of a long prompt delays every stream that the same server decodes, so
a stream with a low limit on the time between tokens misses that limit beside
long prompts. `placement` therefore prefers some servers of a pool for
decode-heavy request classes and the others for prefill-heavy ones. Their
number follows from the recent work of this daemon. Hashes of the server names
decide which ones they are, so that daemons agree without communication. Each
daemon sees only its own requests, so that their numbers differ a little; in a
large pool, neither group has the servers in between.
"""

import math
from typing import Final

import attrs
import xxhash

from figstream import scheduler_api

# Engines read about 80 prompt tokens per millisecond.
_PREFILL_MS_PER_TOKEN: Final = 0.012
# A decode step of some 6 ms generates a token for about 30 requests.
_DECODE_MS_PER_TOKEN: Final = 0.2
# Generated tokens per prompt token from which a class counts as decode-heavy.
# Long answers to short prompts have 0.5, short answers to long prompts 0.02.
_DECODE_HEAVY_RATIO: Final = 0.125
# Past work loses most of its weight in this time, which is longer than a burst
# and shorter than hourly changes of the load.
_DECAY_TIME_S: Final = 20.0
# With fewer requests a split would be arbitrary.
_MIN_REQUESTS: Final = 20.0
# Smaller changes of the share are the noise of a few dozen requests and move no
# servers.
_MIN_SHARE_CHANGE: Final = 0.06
# For a smaller share of the work, a separate group is not worthwhile.
_MIN_SHARE: Final = 0.06
# In smaller pools a group would depend on a single server.
_MIN_SERVERS: Final = 6
_MIN_GROUP_SERVERS: Final = 2
# In pools of at least this size, this share of the servers is in neither group.
_LARGE_POOL_SERVERS: Final = 20
_BETWEEN_SHARE: Final = 0.2
# Weight of the newest request in the means of its request class. The sizes of
# requests differ by an order of magnitude.
_SMOOTHING: Final = 0.05
# Bounds the cache of groups.
_MAX_CACHED_POOLS: Final = 16


@attrs.define
class _ClassWork:
    """Mean token counts per request of a request class."""

    prefill_tokens: float
    decode_tokens: float

    @property
    def is_decode_heavy(self) -> bool:
        """Returns whether the class is decode-heavy."""
        return self.decode_tokens > _DECODE_HEAVY_RATIO * self.prefill_tokens


@attrs.frozen
class _WorkGroups:
    """Names of the servers for decode-heavy and prefill-heavy requests."""

    decode: frozenset[str]
    prefill: frozenset[str]


class WorkSplit:
    """Divides the servers of a pool between decode and prefill."""

    def __init__(self) -> None:
        """Initializes without a split."""
        self._classes: dict[str, _ClassWork] = {}
        # Recent work of decode-heavy (True) and prefill-heavy classes (False).
        self._work_ms = {True: 0.0, False: 0.0}
        self._decayed_requests = 0.0
        self._updated_at = 0.0
        self._decode_share = 0.0
        self._groups: dict[tuple[frozenset[str], int], _WorkGroups] = {}

    def observe(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Records the work of a request and updates the split."""
        prefill_tokens = request.prompt_tokens - request.shared_tokens
        decode_tokens = request.max_output_tokens
        if prefill_tokens <= 0 or decode_tokens <= 0:
            return
        name = request.request_class.name
        work = self._classes.setdefault(
            name, _ClassWork(prefill_tokens, decode_tokens)
        )
        work.prefill_tokens += _SMOOTHING * (
            prefill_tokens - work.prefill_tokens
        )
        work.decode_tokens += _SMOOTHING * (decode_tokens - work.decode_tokens)
        decay = math.exp(-max(0.0, now - self._updated_at) / _DECAY_TIME_S)
        self._updated_at = now
        self._decayed_requests = self._decayed_requests * decay + 1.0
        for decode_heavy in self._work_ms:
            self._work_ms[decode_heavy] *= decay
        # The mean of the class varies less than the sizes of single requests.
        spent_ms = (
            work.prefill_tokens * _PREFILL_MS_PER_TOKEN
            + work.decode_tokens * _DECODE_MS_PER_TOKEN
        )
        self._work_ms[work.is_decode_heavy] += spent_ms
        self._update_share()

    def is_decode_heavy(self, request: scheduler_api.PendingRequest) -> bool:
        """Returns whether a request belongs to a decode-heavy class."""
        work = self._classes.get(request.request_class.name)
        return work is not None and work.is_decode_heavy

    def groups(
        self, names: frozenset[str], request: scheduler_api.PendingRequest
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Returns the servers for a request and those for the other work.

        Without a split, all servers are for the request.
        """
        count = self._decode_count(len(names))
        if not count or request.max_output_tokens <= 0:
            return names, frozenset()
        groups = self._groups_of(names, count)
        if self.is_decode_heavy(request):
            return groups.decode, groups.prefill
        return groups.prefill, groups.decode

    def _decode_count(self, servers: int) -> int:
        """Returns how many of the servers are for decode; 0 without a split."""
        if servers < _MIN_SERVERS or not self._decode_share:
            return 0
        count = max(_MIN_GROUP_SERVERS, round(self._decode_share * servers))
        return min(count, servers - _MIN_GROUP_SERVERS)

    def _update_share(self) -> None:
        if self._decayed_requests < _MIN_REQUESTS:
            return
        share = self._work_ms[True] / sum(self._work_ms.values())
        if not _MIN_SHARE <= share <= 1.0 - _MIN_SHARE:
            share = 0.0
        if abs(share - self._decode_share) >= _MIN_SHARE_CHANGE:
            self._decode_share = share

    def _groups_of(self, names: frozenset[str], count: int) -> _WorkGroups:
        """Returns the groups, as the same sets each time.

        Callers use the sets as keys of their caches.
        """
        found = self._groups.get((names, count))
        if found is None:
            if len(self._groups) >= _MAX_CACHED_POOLS:
                self._groups.clear()
            ranked = sorted(
                names, key=lambda name: xxhash.xxh3_64_intdigest(name.encode())
            )
            # Each group gives up servers in proportion to its size.
            between = (
                _BETWEEN_SHARE if len(names) >= _LARGE_POOL_SERVERS else 0.0
            )
            decode_count = math.ceil(count * (1.0 - between))
            prefill_count = math.ceil((len(names) - count) * (1.0 - between))
            found = self._groups[names, count] = _WorkGroups(
                frozenset(ranked[:decode_count]),
                frozenset(ranked[-prefill_count:]),
            )
        return found
