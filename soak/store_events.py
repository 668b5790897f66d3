"""Plays the events of a soak that concern the platform's store."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Final

import anyio

from soak import backends as backends_lib
from soak import callers as callers_lib
from soak import checks
from soak import daemons as daemons_lib
from soak import lasting_faults
from soak import plan as plan_lib

_SLOW_STORE_DELAY_S: Final = 0.3
_LOST_ANSWERS: Final = 3
# Age of the oldest copy from which the store is restored.
_MAX_COPY_AGE_S: Final = 6.0
# Time until what a restore lost has been written again.
_REWRITE_DELAY_S: Final = 1.0
# Time from a change until the store goes silent, so that watches begin in the
# silence.
_CHANGE_GAP_S: Final = 0.1
# Time after the next change in which requests show whether it is active.
_JUDGED_S: Final = checks.PROPAGATION_LIMIT_S + 1.0
_KIND = plan_lib.EventKind
_SCOPE = checks.Scope


class StoreEvents:
    """Lets the store fail, forget or lose what it has acknowledged."""

    def __init__(
        self,
        backends: backends_lib.Backends,
        observations: checks.Observations,
        faults: lasting_faults.LastingFaults,
        daemons: Sequence[daemons_lib.DaemonProcess],
    ) -> None:
        """Initializes the events for the store of a soak."""
        self._backends = backends
        self._observations = observations
        self._faults = faults
        self._daemons = daemons

    async def down(self, event: plan_lib.Event) -> None:
        """Answers no call."""
        faults = self._backends.store.faults

        def set_fault(on: bool) -> None:
            faults.down = on

        await self._apply(event, set_fault)

    async def silent(self, event: plan_lib.Event) -> None:
        """Falls silent after a change; a later change shows the effect."""
        faults = self._backends.store.faults

        def set_fault(on: bool) -> None:
            faults.silent = on

        self._backends.set_route(callers_lib.EXTRA_ROUTE, present=True)
        await anyio.sleep(_CHANGE_GAP_S)
        await self._apply(event, set_fault)
        # Faults before a change excuse that it is late.
        await anyio.sleep(checks.SETTLING_TIME_S)
        self._backends.set_route(callers_lib.EXTRA_ROUTE, present=False)
        await anyio.sleep(_JUDGED_S)

    async def refuses(self, event: plan_lib.Event) -> None:
        """Refuses the calls of one daemon."""
        number = event.target % len(self._daemons)
        name = self._daemons[number].name
        refused = self._backends.store.faults.refused

        def set_fault(on: bool) -> None:
            (refused.add if on else refused.discard)(name)

        with self._observations.record_fault(_SCOPE.ALL, number):
            await self._faults.apply((event.kind, number), event, set_fault)

    async def slow(self, event: plan_lib.Event) -> None:
        """Answers late."""
        faults = self._backends.store.faults

        def set_fault(on: bool) -> None:
            faults.answer_delay_s = _SLOW_STORE_DELAY_S if on else 0.0

        await self._apply(event, set_fault)

    async def loses(self, event: plan_lib.Event) -> None:
        """Carries out writes without an answer."""
        with self._observations.record_fault(_SCOPE.ALL):
            self._backends.store.faults.lost_answers += _LOST_ANSWERS
            await anyio.sleep(event.for_s)
            self._backends.store.faults.lost_answers = 0

    async def _apply(
        self, event: plan_lib.Event, set_fault: Callable[[bool], None]
    ) -> None:
        with self._observations.record_fault(_SCOPE.ALL):
            await self._faults.apply(event.kind, event, set_fault)

    async def forgets(self, event: plan_lib.Event) -> None:
        """Discards the history."""
        self._backends.store.discard_history()

    async def restored(self, event: plan_lib.Event) -> None:
        """Comes back from an older copy."""
        store = self._backends.store

        def set_down(on: bool) -> None:
            store.faults.down = on

        with self._observations.record_fault(_SCOPE.ALL):
            await self._faults.apply(_KIND.STORE_DOWN, event, set_down)
            store.restore(1.0 + event.draw % _MAX_COPY_AGE_S)
            await anyio.sleep(_REWRITE_DELAY_S)
            self._backends.rewrite()
