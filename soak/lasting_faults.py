"""Applies the faults of a soak that last for some time."""

from collections.abc import Callable

import anyio

from soak import plan as plan_lib


class LastingFaults:
    """The faults that are active, by what they concern."""

    def __init__(self) -> None:
        """Initializes without faults."""
        self._active: dict[object, int] = {}

    async def apply(
        self,
        key: object,
        event: plan_lib.Event,
        set_fault: Callable[[bool], None],
    ) -> None:
        """Applies a fault for the duration of an event.

        If faults with the same key overlap, the end of the last one heals.
        """
        self._active[key] = self._active.get(key, 0) + 1
        set_fault(True)
        await anyio.sleep(event.for_s)
        self._active[key] -= 1
        if not self._active[key]:
            set_fault(False)
