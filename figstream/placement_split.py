"""Keeps long generations apart from the reading of prompts.

A server that reads a prompt holds up every stream that it generates, so a
stream with a short bound on its pauses is late beside long prompts. Some
servers of a pool therefore generate, the others read. How many follows from
the work that this daemon has seen lately; which ones, from hashes of their
names, so that daemons agree without asking each other.
"""

import math
from typing import Final

import attrs
import xxhash

from figstream import scheduler_api

# Server time for a token that is read, in milliseconds: engines read about 80
# in one.
_READ_MS: Final = 0.012
# Server time for a token that is generated, in milliseconds: a step of some
# 6 ms serves about 30 requests.
_GENERATE_MS: Final = 0.2
# Tokens generated for each one read from which a class counts as generating.
# Long texts from short prompts have 0.5, short ones from long prompts 0.02.
_GENERATES: Final = 0.125
# Seconds in which what was seen loses most of its weight; longer than a burst
# needs to pass, shorter than a change of the load by the hour.
_MEMORY_S: Final = 20.0
# Requests to see before a split means anything.
_LEAST_SEEN: Final = 20.0
# Change of the share that moves servers to the other side; less would be the
# noise of a few dozen requests.
_LEAST_CHANGE: Final = 0.06
# Parts of the work outside which one side would get no server of use.
_LEAST_SHARE: Final = 0.06
# Servers below which a side would hang on one server.
_LEAST_SERVERS: Final = 6
_LEAST_SIDE: Final = 2
# Weight of the newest request in the means of its class.
_SMOOTHING: Final = 0.1
# Sets of servers whose sides are kept.
_MAX_SIDES: Final = 16


@attrs.define
class _ClassWork:
    """Mean tokens of a class."""

    read: float
    generated: float

    @property
    def generates(self) -> bool:
        """Returns whether its requests belong among the generating ones."""
        return self.generated > _GENERATES * self.read


@attrs.frozen
class _Sides:
    """Names of the servers that generate, and of those that read."""

    generating: frozenset[str]
    reading: frozenset[str]


class WorkSplit:
    """Which servers of a pool generate and which read."""

    def __init__(self) -> None:
        """Starts without a split."""
        self._classes: dict[str, _ClassWork] = {}
        self._work_ms = {True: 0.0, False: 0.0}
        self._seen = 0.0
        self._updated_at = 0.0
        self._share = 0.0
        self._sides: dict[tuple[frozenset[str], int], _Sides] = {}

    def observe(
        self, request: scheduler_api.PendingRequest, now: float
    ) -> None:
        """Takes note of a request."""
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
        """Returns whether a request belongs to the generating servers."""
        work = self._classes.get(request.request_class.name)
        return work is not None and work.generates

    def side(
        self, names: frozenset[str], request: scheduler_api.PendingRequest
    ) -> frozenset[str]:
        """Returns the servers for a request; all if there is no split."""
        count = self._count(len(names))
        if not count or request.max_output_tokens <= 0:
            return names
        sides = self._sides_of(names, count)
        return sides.generating if self.generates(request) else sides.reading

    def _count(self, servers: int) -> int:
        """Returns how many of the servers generate."""
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
        """Returns the sides; the same sets each time, as keys of caches."""
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
