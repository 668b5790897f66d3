"""Stores the chain of sealed usage windows in the platform's object store.

`usage_sealing` seals a window by creating its object, which can succeed only
once. A separate progress object records the last reported and the last
removed window. It is written before a window is removed, and read after a
window was read or created. A process that was paused for any time and then
recreates a removed window therefore finds its object invalid before using it.

After a restore of the store from an older copy, windows that were sealed and
perhaps reported may be missing. A window that ended before the restore is then
in doubt, and reporting it again could differ from the first report. The chain
therefore continues with the first window that began after the restore was
seen, and windows in doubt are not reported.
"""

import secrets
from typing import Final

import attrs

from figstream import logs
from figstream import platform_api
from figstream import serialization
from figstream import store_era
from figstream import usage_window

WINDOW_PREFIX: Final = "usage/window/"
PROGRESS_NAME: Final = "usage/progress"
# The last window must remain, as it records which deltas are counted.
_RETAINED_WINDOWS: Final = 2
# Long enough that no two writes have the same id.
_WRITE_ID_BYTES: Final = 8
_MS_PER_S: Final = 1000


@attrs.frozen
class UsageProgress:
    """The last windows that were reported and removed.

    Attributes:
      start_ms: start of the first window, Unix milliseconds.
      reported: the last window that is reported, 0 for none.
      removed: the last window whose object may be gone, 0 for none.
      write_id: unique id of this write.
      era: era of the store in which the chain began or continued.
      resumed_ms: start of the first window after the last restore, Unix
        milliseconds.
    """

    start_ms: int
    reported: int
    removed: int
    write_id: str
    era: int = 0
    resumed_ms: int = 0


class UsageChain:
    """One process's view of the chain; every write is conditional."""

    def __init__(
        self,
        objects: platform_api.ObjectStore,
        era: store_era.StoreEra,
        window_ms: int,
    ) -> None:
        """Initializes without a view; `load` reads the chain."""
        self._objects = objects
        self._era = era
        self._window_ms = window_ms
        self._progress: UsageProgress | None = None
        self._progress_version = platform_api.ABSENT_VERSION
        self._tail: usage_window.StoredWindow | None = None

    @property
    def tail(self) -> usage_window.StoredWindow | None:
        """Returns the last sealed window, or None without a view."""
        return self._tail

    @property
    def unreported(self) -> int:
        """Returns the number of sealed windows that are not yet reported."""
        if self._tail is None or self._progress is None:
            return 0
        return self._tail.number - self._progress.reported

    def discard_view(self) -> None:
        """Discards the view, so that the chain must be loaded again."""
        self._tail = None
        self._progress = None

    async def load(self, first_start_ms: int) -> bool:
        """Reads the end of the chain; returns whether this succeeded.

        Args:
          first_start_ms: start of the first window if there is no chain yet.
        """
        names = await self._objects.list_names(WINDOW_PREFIX)
        if isinstance(names, platform_api.Unavailable):
            return False
        numbers = [int(name.removeprefix(WINDOW_PREFIX)) for name in names]
        last = max(numbers, default=0)
        tail = await self._read_window(last) if last else None
        progress = await self._read_progress()
        if progress is None and not last:
            progress = await self._create_progress(first_start_ms)
        if progress is None or (last and tail is None):
            return False
        if last < progress.removed or (last == progress.removed and last):
            return False
        if progress.era != self._era.current:
            resumed = await self._resume_after_restore(progress, last)
            if resumed is None:
                return False
            progress = resumed
        tail = tail or usage_window.StoredWindow(
            0, progress.start_ms, progress.start_ms
        )
        self._tail = _moved_to(tail, progress.resumed_ms)
        stale = [number for number in numbers if number <= progress.removed]
        for number in stale:
            await self._delete_window(number)
        return True

    async def append(self, window: usage_window.StoredWindow) -> bool:
        """Seals the window after the tail; returns whether this succeeded.

        Any outcome other than a confirmed success discards the view: loading
        the chain again shows whether the write took effect.
        """
        outcome = await self._objects.write(
            _object_name(window.number),
            serialization.to_json(window),
            platform_api.ABSENT_VERSION,
        )
        progress = None
        if isinstance(outcome, platform_api.Written):
            progress = await self._read_progress()
        if progress is not None and window.number <= progress.removed:
            await self._delete_window(window.number)
            progress = None
        if progress is None:
            self.discard_view()
            return False
        self._tail = window
        return True

    async def oldest_unreported(self) -> usage_window.StoredWindow | None:
        """Returns the window to report next, or None.

        The progress is read after the window, which proves that the object
        is the window that was sealed and not one recreated after removal.
        """
        if self._tail is None or self._progress is None or not self.unreported:
            return None
        number = self._progress.reported + 1
        window: usage_window.StoredWindow | None = self._tail
        if number != self._tail.number:
            window = await self._read_window(number)
        progress = await self._read_progress()
        if window is None or progress is None:
            self.discard_view()
            return None
        return window if number == progress.reported + 1 else None

    async def mark_reported(self, number: int) -> bool:
        """Records that a window was reported; removes old windows."""
        progress = self._progress
        if progress is None or number <= progress.reported:
            return False
        removed = max(progress.removed, number - _RETAINED_WINDOWS)
        changed = attrs.evolve(
            progress, reported=number, removed=removed, write_id=_write_id()
        )
        if not await self._write_progress(changed, self._progress_version):
            self.discard_view()
            return False
        for old in range(progress.removed + 1, removed + 1):
            await self._delete_window(old)
        return True

    async def _create_progress(self, start_ms: int) -> UsageProgress | None:
        era = self._era.current
        progress = UsageProgress(start_ms, 0, 0, _write_id(), era)
        absent = platform_api.ABSENT_VERSION
        await self._write_progress(progress, absent)
        return await self._read_progress()

    async def _resume_after_restore(
        self, progress: UsageProgress, last: int
    ) -> UsageProgress | None:
        """Leaves out the windows in doubt; returns None if that failed.

        Args:
          progress: progress as of before the restore.
          last: number of the last window in the store.
        """
        # The next window, since the clock of this VM may be behind that of the
        # VM that reported before the restore.
        seen_ms = int(self._era.seen_wall * _MS_PER_S)
        resumed_ms = (seen_ms // self._window_ms + 1) * self._window_ms
        resumed = attrs.evolve(
            progress,
            reported=max(progress.reported, last),
            write_id=_write_id(),
            era=self._era.current,
            resumed_ms=max(progress.resumed_ms, resumed_ms),
        )
        if not await self._write_progress(resumed, self._progress_version):
            return None
        logs.warning(
            "usage_windows_in_doubt",
            era=resumed.era,
            reported=progress.reported,
            last=last,
            resumed_ms=resumed.resumed_ms,
        )
        return resumed

    async def _write_progress(
        self, progress: UsageProgress, version: int
    ) -> bool:
        if progress.era != self._era.current:
            return False
        body = serialization.to_json(progress)
        outcome = await self._objects.write(PROGRESS_NAME, body, version)
        if isinstance(outcome, platform_api.Unknown):
            found = await self._read_progress()
            return found is not None and found.write_id == progress.write_id
        if isinstance(outcome, platform_api.Written):
            self._progress = progress
            self._progress_version = outcome.version
            return True
        return False

    async def _read_progress(self) -> UsageProgress | None:
        found = await self._objects.read(PROGRESS_NAME)
        if not isinstance(found, platform_api.Found):
            return None
        self._progress = serialization.from_json(found.body, UsageProgress)
        self._progress_version = found.version
        return self._progress

    async def _read_window(
        self, number: int
    ) -> usage_window.StoredWindow | None:
        found = await self._objects.read(_object_name(number))
        if not isinstance(found, platform_api.Found):
            return None
        return serialization.from_json(found.body, usage_window.StoredWindow)

    async def _delete_window(self, number: int) -> None:
        name = _object_name(number)
        found = await self._objects.read(name)
        if isinstance(found, platform_api.Found):
            await self._objects.delete(name, found.version)


def _moved_to(
    tail: usage_window.StoredWindow, resumed_ms: int
) -> usage_window.StoredWindow:
    """Returns the tail for a chain that continues at a later time."""
    if tail.end_ms >= resumed_ms:
        return tail
    return attrs.evolve(
        tail,
        start_ms=resumed_ms,
        end_ms=resumed_ms,
        floor_ms=max(tail.floor_ms, resumed_ms),
    )


def _object_name(number: int) -> str:
    return f"{WINDOW_PREFIX}{number:012d}"


def _write_id() -> str:
    return secrets.token_hex(_WRITE_ID_BYTES)
