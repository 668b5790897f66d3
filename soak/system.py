"""Plays one soak from start to checks.

Starts the stand-ins, the daemons and the callers, applies the events of a plan,
waits for the recovery of all daemons and checks the promises.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib
import signal
import time
from typing import Final

import anyio
import anyio.abc
import attrs
import httpx

from figstream import http_server
from soak import backends as backends_lib
from soak import callers as callers_lib
from soak import checks
from soak import daemons as daemons_lib
from soak import links
from soak import plan as plan_lib

_CALLERS: Final = 9
# Leaves time for three daemons that start at once.
_START_S: Final = 20.0
# All daemons must serve again within this time after the faults.
RECOVERY_S: Final = 12.0
# Consecutive requests that a recovered daemon must serve.
_STREAK: Final = 5
# Time beyond the grace time after which the platform kills a daemon.
_GRACE_SLACK_S: Final = 0.5
_STEP_S: Final = 2.0
# Number of faulty answers of a worker, and the time until unused faults are
# removed.
_WRONG_ANSWERS: Final = 4
_WRONG_FOR_S: Final = 4.0
_SLOW_S: Final = 0.3
_LOST_ANSWERS: Final = 3
# Time for the stand-in of the store to close its connections.
_CLOSING_S: Final = 0.3
_EXTRA_ROUTE: Final = "report"
_OLD_KEY: Final = "old-key"
_LINK_MODES: Final = (
    links.LinkMode.DELAY,
    links.LinkMode.SILENT,
    links.LinkMode.DEAF,
    links.LinkMode.RESET,
)
_K = plan_lib.Kind
_S = checks.Scope


@attrs.frozen
class Result:
    """Result of a soak.

    Attributes:
      seed: seed of the soak.
      events: events that were played.
      broken: a message for each violation of a promise.
      sent: number of requests.
      served: number of requests with a complete answer of status 200.
    """

    seed: int
    events: list[plan_lib.Event]
    broken: list[str]
    sent: int
    served: int


class Soak:
    """Daemons, their stand-ins and the faults applied to them."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        seed: int,
        folder: pathlib.Path,
    ) -> None:
        """Initializes a soak; settings and logs are written to the folder."""
        self._group = group
        self._seed = seed
        self._folder = folder
        self._seen = checks.Seen()
        self._backends = backends_lib.Backends(group, plan_lib.WORKERS_EACH)
        self._daemons: list[daemons_lib.DaemonProcess] = []
        self._store_links: list[links.Link] = []
        self._caller_links: list[links.Link] = []
        self._store_server: http_server.HttpServer | None = None
        self._active: dict[object, int] = {}
        self._callers = callers_lib.Callers([], seed)

    async def run(self, events: list[plan_lib.Event]) -> Result:
        """Plays the events under load, then checks the observations."""
        try:
            with self._trouble(_S.ALL):
                await self._start()
            async with anyio.create_task_group() as load:
                load.start_soon(self._callers.run, _CALLERS)
                load.start_soon(self._use_what_goes)
                async with anyio.create_task_group() as faults:
                    for event in events:
                        faults.start_soon(self._play, event)
                await self._recover()
                self._callers.stopping = True
        finally:
            for daemon in self._daemons:
                daemon.end()
            if self._store_server:
                self._store_server.shut_down()
                await anyio.sleep(_CLOSING_S)
        seen = self._seen
        seen.sent = self._callers.sent
        seen.runs = {item.name: item.runs for item in self._backends.workers}
        seen.duties = self._backends.store.duties
        seen.drained = self._backends.drained
        seen.removed = self._backends.removed
        seen.revoked = self._backends.revoked
        served = sum(item.whole and item.status == 200 for item in seen.sent)
        broken = checks.broken_promises(seen)
        return Result(self._seed, events, broken, len(seen.sent), served)

    async def _start(self) -> None:
        await self._backends.start()
        server = http_server.HttpServer(
            self._backends.store.application, "127.0.0.1", 0, 0.0
        )
        self._store_server = server
        self._group.start_soon(server.serve)
        ports = [daemons_lib.make_ports() for _ in range(plan_lib.DAEMONS)]
        for number, of_daemon in enumerate(ports):
            store_link = links.Link(server.port)
            caller_link = links.Link(of_daemon.front)
            for link in (store_link, caller_link):
                await self._group.start(link.serve)
            self._store_links.append(store_link)
            self._caller_links.append(caller_link)
            daemon = daemons_lib.DaemonProcess(
                f"entry-{number}",
                backends_lib.ZONES[number % len(backends_lib.ZONES)],
                of_daemon,
                self._folder,
            )
            daemon.write_settings(store_link.port, [x.peers for x in ports])
            daemon.start()
            self._daemons.append(daemon)
        self._callers = callers_lib.Callers(
            [link.port for link in self._caller_links], self._seed
        )
        if not await self._all_serve(_START_S):
            raise RuntimeError(
                f"daemons did not serve within {_START_S} s, see the logs"
            )

    async def _recover(self) -> None:
        since = time.monotonic()
        if not await self._all_serve(RECOVERY_S):
            states = ", ".join(
                f"{x.name} {'runs' if x.running else 'has exited'}"
                for x in self._daemons
            )
            waited_s = time.monotonic() - since
            self._seen.unrecovered = (
                f"not all daemons serve {waited_s:.1f} s after the faults "
                f"({states})"
            )

    async def _all_serve(self, within_s: float) -> bool:
        served: list[int] = []
        with anyio.move_on_after(within_s):
            async with anyio.create_task_group() as group:
                for number in range(len(self._daemons)):
                    group.start_soon(self._serves, number, served)
        return len(served) == len(self._daemons)

    async def _serves(self, number: int, served: list[int]) -> None:
        streak = 0
        while streak < _STREAK:
            async with httpx.AsyncClient(timeout=2.0) as client:
                route = callers_lib.SAFE_ROUTE
                sent = await self._callers.ask(client, number, route)
            good = sent.whole and sent.status == 200
            streak = streak + 1 if good or sent.left else 0
            await anyio.sleep(0.05)
        served.append(number)

    async def _use_what_goes(self) -> None:
        """Sends requests with a route and a key that events may remove."""
        number = 0
        async with httpx.AsyncClient(timeout=2.0) as client:
            while not self._callers.stopping:
                number = (number + 1) % len(self._daemons)
                await self._callers.ask(client, number, _EXTRA_ROUTE)
                await self._callers.ask(
                    client, number, callers_lib.SAFE_ROUTE, _OLD_KEY
                )
                await anyio.sleep(0.1)

    async def _play(self, event: plan_lib.Event) -> None:
        await anyio.sleep(event.at_s)
        await self._actions[event.kind](event)

    @property
    def _actions(
        self,
    ) -> dict[plan_lib.Kind, Callable[[plan_lib.Event], Awaitable[None]]]:
        return {
            _K.KILL: self._kill,
            _K.TERMINATE: self._terminate,
            _K.ROLL: self._roll,
            _K.PAUSE: self._pause,
            _K.RELOAD: self._reload,
            _K.CLOCK: self._clock,
            _K.STORE_LINK: self._store_link,
            _K.CALLER_LINK: self._caller_link,
            _K.WORKER_LINK: self._worker_link,
            _K.STORE_DOWN: self._store_down,
            _K.STORE_REFUSES: self._store_refuses,
            _K.STORE_SLOW: self._store_slow,
            _K.STORE_LOSES: self._store_loses,
            _K.STORE_FORGETS: self._store_forgets,
            _K.WORKER_CRASH: self._worker_crash,
            _K.WORKER_FAULTS: self._worker_faults,
            _K.DRAIN: self._drain,
            _K.CONFIGURE: self._configure,
            _K.REVOKE: self._revoke,
        }

    @contextlib.contextmanager
    def _trouble(
        self, scope: checks.Scope, daemon: int | None = None
    ) -> Iterator[checks.Trouble]:
        """Records a fault that lasts until the end of the `with` block."""
        made = checks.Trouble(scope, daemon, time.monotonic())
        self._seen.troubles.append(made)
        yield made
        made.until = time.monotonic()

    def _daemon_of(self, event: plan_lib.Event) -> int:
        return event.target % len(self._daemons)

    def _place_of(self, event: plan_lib.Event) -> backends_lib.Place:
        return self._backends.places[event.target % len(self._backends.places)]

    async def _while_active(
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

    async def _kill(self, event: plan_lib.Event) -> None:
        number = self._daemon_of(event)
        with self._trouble(_S.ALL, number):
            self._daemons[number].end()
            await anyio.sleep(event.for_s)
            await self._start_again(number)

    async def _terminate(self, event: plan_lib.Event) -> None:
        await self._stop(self._daemon_of(event))

    async def _roll(self, event: plan_lib.Event) -> None:
        for number in range(len(self._daemons)):
            await self._stop(number)
            await anyio.sleep(event.for_s)

    async def _stop(self, number: int) -> None:
        with self._trouble(_S.STOP, number) as trouble:
            await self._end_in_time(number, trouble.since)
            await self._start_again(number)

    async def _end_in_time(self, number: int, since: float) -> None:
        """Sends SIGTERM, then SIGKILL after the grace time."""
        daemon = self._daemons[number]
        process_id = daemon.process_id
        daemon.send(signal.SIGTERM)
        with anyio.move_on_after(daemons_lib.GRACE_S + _GRACE_SLACK_S):
            while daemon.running and daemon.process_id == process_id:
                await anyio.sleep(0.02)
        if daemon.running and daemon.process_id == process_id:
            if not self._seen.touched(number, since, time.monotonic(), _S.ALL):
                self._seen.overstayed.append(daemon.name)
            with self._trouble(_S.ALL, number):
                daemon.end()

    async def _start_again(self, number: int) -> None:
        """Starts a daemon and waits until the daemon listens."""
        daemon = self._daemons[number]
        daemon.start()
        with anyio.move_on_after(_START_S):
            while daemon.running and not await daemon.listens():
                await anyio.sleep(0.05)

    async def _pause(self, event: plan_lib.Event) -> None:
        number = self._daemon_of(event)

        def set_fault(on: bool) -> None:
            sent = signal.SIGSTOP if on else signal.SIGCONT
            self._daemons[number].send(sent)

        with self._trouble(_S.ALL, number):
            await self._while_active((_K.PAUSE, number), event, set_fault)

    async def _reload(self, event: plan_lib.Event) -> None:
        self._daemons[self._daemon_of(event)].send(signal.SIGHUP)

    async def _clock(self, event: plan_lib.Event) -> None:
        number = self._daemon_of(event)
        step_s = _STEP_S if event.draw % 2 else -_STEP_S

        def set_fault(on: bool) -> None:
            self._daemons[number].step_clock(step_s if on else 0.0)

        with self._trouble(_S.ALL, number):
            await self._while_active((_K.CLOCK, number), event, set_fault)

    async def _on_link(self, event: plan_lib.Event, link: links.Link) -> None:
        mode = _LINK_MODES[event.draw % len(_LINK_MODES)]

        def set_fault(on: bool) -> None:
            link.set_mode(mode if on else links.LinkMode.PASS)

        await self._while_active(link, event, set_fault)

    async def _store_link(self, event: plan_lib.Event) -> None:
        number = self._daemon_of(event)
        with self._trouble(_S.ALL, number):
            await self._on_link(event, self._store_links[number])

    async def _caller_link(self, event: plan_lib.Event) -> None:
        number = self._daemon_of(event)
        with self._trouble(_S.ALL, number):
            await self._on_link(event, self._caller_links[number])

    async def _worker_link(self, event: plan_lib.Event) -> None:
        # Excuses all bounds, since requests that the link held back reach the
        # worker late.
        with self._trouble(_S.ALL):
            await self._on_link(event, self._place_of(event).link)

    async def _store_down(self, event: plan_lib.Event) -> None:
        faults = self._backends.store.faults

        def set_fault(on: bool) -> None:
            faults.down = on

        await self._on_store(event, set_fault)

    async def _store_refuses(self, event: plan_lib.Event) -> None:
        name = self._daemons[self._daemon_of(event)].name
        refused = self._backends.store.faults.refused

        def set_fault(on: bool) -> None:
            (refused.add if on else refused.discard)(name)

        number = self._daemon_of(event)
        with self._trouble(_S.ALL, number):
            await self._while_active((event.kind, number), event, set_fault)

    async def _store_slow(self, event: plan_lib.Event) -> None:
        faults = self._backends.store.faults

        def set_fault(on: bool) -> None:
            faults.slow_s = _SLOW_S if on else 0.0

        await self._on_store(event, set_fault)

    async def _store_loses(self, event: plan_lib.Event) -> None:
        with self._trouble(_S.ALL):
            self._backends.store.faults.lost_answers += _LOST_ANSWERS
            await anyio.sleep(event.for_s)
            self._backends.store.faults.lost_answers = 0

    async def _on_store(
        self, event: plan_lib.Event, set_fault: Callable[[bool], None]
    ) -> None:
        with self._trouble(_S.ALL):
            await self._while_active(event.kind, event, set_fault)

    async def _store_forgets(self, event: plan_lib.Event) -> None:
        self._backends.store.forget_history()

    async def _worker_crash(self, event: plan_lib.Event) -> None:
        place = self._place_of(event)
        if place.drains or self._active.get(place.worker.name):
            return
        self._active[place.worker.name] = 1
        with self._trouble(_S.ANSWERS):
            self._backends.crash(place)
            await anyio.sleep(event.for_s)
            await self._backends.restart(place)

    async def _worker_faults(self, event: plan_lib.Event) -> None:
        with self._trouble(_S.ANSWERS):
            fault = backends_lib.FAULTS[event.draw % len(backends_lib.FAULTS)]
            worker = self._place_of(event).worker
            worker.faults.extend([fault] * _WRONG_ANSWERS)
            await anyio.sleep(_WRONG_FOR_S)
            worker.faults.clear()

    async def _drain(self, event: plan_lib.Event) -> None:
        place = self._place_of(event)
        if not self._active.get(place.worker.name):
            self._backends.drain(place)

    async def _configure(self, event: plan_lib.Event) -> None:
        self._backends.toggle_route(_EXTRA_ROUTE)

    async def _revoke(self, event: plan_lib.Event) -> None:
        self._backends.revoke(_OLD_KEY)


async def play(seed: int, folder: pathlib.Path) -> Result:
    """Plays one seed; settings and logs are written to the folder."""
    async with anyio.create_task_group() as group:
        soak = Soak(group, seed, folder)
        result = await soak.run(plan_lib.make_plan(seed))
        group.cancel_scope.cancel()
    return result
