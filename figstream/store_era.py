"""Tells the eras of the platform's store apart.

The store may come back from a copy that is some seconds old. Each such restore
begins a new era, in which the store gives out the same revisions again. A
version or position therefore combines the era with the revision, so that it
rises across restores and never equals one of an earlier era. The store's
adapter passes the era of each answer to `StoreEra`, and the roles that act on
what they wrote ask it whether that era still lasts.
"""

from typing import Final

import anyio

from figstream import clock as clock_lib
from figstream import logs

# Bits of a version that hold the revision.
_REVISION_BITS: Final = 40
_REVISION_MASK: Final = (1 << _REVISION_BITS) - 1
_NEVER: Final = float("-inf")


class StoreEra:
    """The newest era that this daemon has seen, 0 before the first answer.

    A platform whose store is never restored stays in era 0.
    """

    def __init__(self, clock: clock_lib.Clock) -> None:
        """Initializes without an era."""
        self._clock = clock
        self._current = 0
        self._seen_at = _NEVER
        self._seen_wall = 0.0
        self._restores = 0
        self._changed = anyio.Event()

    @property
    def current(self) -> int:
        """Returns the newest era."""
        return self._current

    @property
    def seen_at(self) -> float:
        """Returns the time at which the newest era was first seen."""
        return self._seen_at

    @property
    def seen_wall(self) -> float:
        """Returns the Unix time at which the newest era was first seen."""
        return self._seen_wall

    @property
    def restores(self) -> int:
        """Returns how many restores this daemon has witnessed."""
        return self._restores

    def observe(self, era: int) -> bool:
        """Records the era of an answer; returns whether it is the newest."""
        if era <= self._current:
            return era == self._current
        if self._current:
            self._restores += 1
            logs.warning("store_restored", era=era, previous=self._current)
        self._current = era
        self._seen_at = self._clock.now()
        self._seen_wall = self._clock.wall()
        self._changed.set()
        self._changed = anyio.Event()
        return True

    async def wait_for_restore(self) -> None:
        """Waits until this daemon witnesses a restore."""
        restores = self._restores
        while self._restores == restores:
            await self._changed.wait()


def version_of(era: int, revision: int) -> int:
    """Returns the version that an object has with a revision in an era."""
    return (era << _REVISION_BITS) | revision


def era_of(version: int) -> int:
    """Returns the era of a version or position."""
    return version >> _REVISION_BITS


def revision_of(version: int) -> int:
    """Returns the revision of a version or position, without its era."""
    return version & _REVISION_MASK
