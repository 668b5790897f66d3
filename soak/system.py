"""Plays one soak from start to checks.

Starts the stand-ins, the daemons and the callers, applies the events of a plan,
waits for the recovery of all daemons and checks the promises.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import pathlib
import signal
import time
from typing import Final

import anyio
import anyio.abc
import attrs
import httpx

from figstream import http_server
from figstream_platform import standin_program
from soak import backends as backends_lib
from soak import builds
from soak import callers as callers_lib
from soak import checks
from soak import daemons as daemons_lib
from soak import lasting_faults
from soak import links
from soak import plan as plan_lib
from soak import store_events
from soak import worker_events

_CALLERS: Final = 9
# Leaves time for three daemons that start at once.
_START_TIMEOUT_S: Final = 20.0
# All daemons must serve again within this time after the faults.
RECOVERY_TIMEOUT_S: Final = 12.0
# Consecutive requests that a recovered daemon must serve.
_REQUIRED_SUCCESSES: Final = 5
# Time beyond the grace time after which the platform kills a daemon.
_GRACE_SLACK_S: Final = 0.5
_EXIT_CHECK_INTERVAL_S: Final = 0.02
# Sent in turn to a daemon that is stopping.
_FURTHER_SIGNALS: Final = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
_CLOCK_STEP_S: Final = 2.0
# Time for the stand-in of the store to close its connections.
_STORE_SHUTDOWN_S: Final = 0.3
# Time between requests that crash servers.
_CRASHING_INTERVAL_S: Final = 0.4
_CRASHED_S: Final = 4.0
_SHARED_BLOCK: Final = "aa"
# Streams under way when all daemons are killed, and the time from their begin
# until then, in which they have some events.
_KILLED_STREAMS: Final = 18
_BEGUN_S: Final = 0.13
_OLD_KEY: Final = "old-key"
_LINK_MODES: Final = (
    links.LinkMode.DELAY,
    links.LinkMode.SILENT,
    links.LinkMode.DEAF,
    links.LinkMode.RESET,
)
# Links of small VMs of 10 Mbit/s.
_STORE_LINK_BYTES_PER_S: Final = 1_250_000
_EVACUATING_TIMES: Final = attrs.evolve(
    daemons_lib.DAEMON_TIMES,
    evacuate_ms=round(1_000 * checks.PROPAGATION_LIMIT_S),
)
_KIND = plan_lib.EventKind
_SCOPE = checks.Scope


@attrs.frozen
class Result:
    """Result of a soak.

    Attributes:
      seed: seed of the soak.
      events: events that were played.
      broken: a message for each violation of a promise.
      sent: number of requests.
      served: number of requests with a complete answer of status 200.
      builds: how daemons went from one build to the other.
    """

    seed: int
    events: list[plan_lib.Event]
    broken: list[str]
    sent: int
    served: int
    builds: str


class Soak:
    """Daemons, their stand-ins and the faults applied to them."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        seed: int,
        folder: pathlib.Path,
        build_plan: builds.BuildPlan,
    ) -> None:
        """Initializes a soak; settings and logs are written to the folder."""
        self._build_plan = build_plan
        self._group = group
        self._seed = seed
        self._folder = folder
        self._observations = checks.Observations()
        self._backends = backends_lib.Backends(
            group,
            plan_lib.WORKERS_PER_SERVICE,
            plan_lib.idle_routes(seed),
            plan_lib.page_items(seed),
        )
        self._worker_events = worker_events.WorkerEvents(
            self._backends, self._observations
        )
        self._daemons: list[daemons_lib.DaemonProcess] = []
        self._faults = lasting_faults.LastingFaults()
        self._store_events = store_events.StoreEvents(
            self._backends, self._observations, self._faults, self._daemons
        )
        self._store_links: list[links.Link] = []
        self._caller_links: list[links.Link] = []
        self._store_server: http_server.HttpServer | None = None
        self._callers = callers_lib.Callers([], seed)

    async def run(self, events: list[plan_lib.Event]) -> Result:
        """Plays the events under load, then checks the observations."""
        try:
            with self._observations.record_fault(_SCOPE.ALL):
                await self._start()
            async with anyio.create_task_group() as load:
                load.start_soon(self._callers.run, _CALLERS)
                load.start_soon(self._use_removable_route_and_key)
                async with anyio.create_task_group() as faults:
                    for event in events:
                        faults.start_soon(self._play_event, event)
                    faults.start_soon(self._build_plan.play, self._replace)
                await self._check_recovery()
                self._callers.stopping = True
        finally:
            for daemon in self._daemons:
                daemon.kill_and_wait()
            if self._store_server:
                self._store_server.shut_down()
                await anyio.sleep(_STORE_SHUTDOWN_S)
        observed = self._observations
        observed.sent = self._callers.sent
        observed.runs = {
            item.name: item.runs for item in self._backends.workers
        }
        observed.software = {
            item.name: item.software for item in self._backends.workers
        }
        observed.refusal_crashes_at = [
            at for item in self._backends.workers for at in item.fell_at
        ]
        observed.duties = self._backends.store.duties
        observed.drained = self._backends.drained
        observed.zones = self._backends.zones
        observed.removed = self._backends.removed
        observed.revoked = self._backends.revoked
        served = sum(
            item.whole and item.status == 200 for item in observed.sent
        )
        broken = checks.broken_promises(observed)
        if len(self._build_plan.trees) > 1:
            broken += builds.unread(self._folder)
        return Result(
            self._seed,
            events,
            broken,
            len(observed.sent),
            served,
            self._build_plan.name,
        )

    async def _start(self) -> None:
        await self._backends.start()
        server = http_server.HttpServer(
            self._backends.store.application, "127.0.0.1", 0, 0.0
        )
        self._store_server = server
        self._group.start_soon(server.serve)
        ports = [daemons_lib.make_ports() for _ in range(plan_lib.DAEMON_COUNT)]
        for number, daemon_ports in enumerate(ports):
            store_link = links.Link(
                server.port, links.Rate(_STORE_LINK_BYTES_PER_S)
            )
            caller_link = links.Link(daemon_ports.front)
            for link in (store_link, caller_link):
                await self._group.start(link.serve)
            self._store_links.append(store_link)
            self._caller_links.append(caller_link)
            daemon = daemons_lib.DaemonProcess(
                f"entry-{number}",
                backends_lib.ZONES[number % len(backends_lib.ZONES)],
                daemon_ports,
                self._folder,
                self._build_plan.first[number],
            )
            # Older builds refuse settings that they don't know.
            if len(self._build_plan.trees) == 1:
                daemon.times = _EVACUATING_TIMES
            daemon.write_settings(store_link.port, [x.peers for x in ports])
            daemon.start()
            self._daemons.append(daemon)
        self._callers = callers_lib.Callers(
            [link.port for link in self._caller_links], self._seed
        )
        if not await self._wait_until_all_serve(_START_TIMEOUT_S):
            raise RuntimeError(
                f"daemons did not serve within {_START_TIMEOUT_S} s, "
                f"see the logs"
            )

    async def _check_recovery(self) -> None:
        since = time.monotonic()
        if not await self._wait_until_all_serve(RECOVERY_TIMEOUT_S):
            states = ", ".join(
                f"{x.name} {'runs' if x.running else 'has exited'}"
                for x in self._daemons
            )
            waited_s = time.monotonic() - since
            self._observations.recovery_failure = (
                f"not all daemons serve {waited_s:.1f} s after the faults "
                f"({states})"
            )

    async def _wait_until_all_serve(self, within_s: float) -> bool:
        served: list[int] = []
        with anyio.move_on_after(within_s):
            async with anyio.create_task_group() as group:
                for number in range(len(self._daemons)):
                    group.start_soon(self._wait_until_serving, number, served)
        return len(served) == len(self._daemons)

    async def _wait_until_serving(self, number: int, served: list[int]) -> None:
        successes = 0
        while successes < _REQUIRED_SUCCESSES:
            async with httpx.AsyncClient(timeout=2.0) as client:
                route = callers_lib.SAFE_ROUTE
                sent = await self._callers.send_request(client, number, route)
            succeeded = sent.whole and sent.status == 200
            successes = successes + 1 if succeeded or sent.cancelled else 0
            await anyio.sleep(0.05)
        served.append(number)

    async def _use_removable_route_and_key(self) -> None:
        """Sends requests with a route and a key that events may remove."""
        number = 0
        async with httpx.AsyncClient(timeout=2.0) as client:
            while not self._callers.stopping:
                number = (number + 1) % len(self._daemons)
                await self._callers.send_request(
                    client, number, callers_lib.EXTRA_ROUTE
                )
                await self._callers.send_request(
                    client, number, callers_lib.SAFE_ROUTE, _OLD_KEY
                )
                await anyio.sleep(0.1)

    async def _play_event(self, event: plan_lib.Event) -> None:
        await anyio.sleep(event.at_s)
        await self._actions[event.kind](event)

    @property
    def _actions(
        self,
    ) -> dict[plan_lib.EventKind, Callable[[plan_lib.Event], Awaitable[None]]]:
        return {
            _KIND.KILL: self._kill,
            _KIND.TERMINATE: self._terminate,
            _KIND.ROLL: self._roll,
            _KIND.PAUSE: self._pause,
            _KIND.RELOAD: self._reload,
            _KIND.CLOCK: self._clock,
            _KIND.STORE_LINK: self._store_link,
            _KIND.CALLER_LINK: self._caller_link,
            _KIND.WORKER_LINK: self._worker_link,
            _KIND.STORE_DOWN: self._store_events.down,
            _KIND.STORE_REFUSES: self._store_events.refuses,
            _KIND.STORE_SLOW: self._store_events.slow,
            _KIND.STORE_LOSES: self._store_events.loses,
            _KIND.STORE_FORGETS: self._store_events.forgets,
            _KIND.STORE_RESTORED: self._store_events.restored,
            _KIND.STORE_SILENT: self._store_events.silent,
            _KIND.WORKER_CRASH: self._worker_events.crash,
            _KIND.WORKER_FAULTS: self._worker_events.answer_wrongly,
            _KIND.DRAIN: self._worker_events.drain,
            _KIND.CONFIGURE: self._configure,
            _KIND.REVOKE: self._revoke,
            _KIND.PROMPT_CRASHES: self._prompt_crashes,
            _KIND.REQUEST_CRASHES: self._request_crashes,
            _KIND.RELEASE: self._worker_events.release,
            _KIND.KILL_ALL: self._kill_all,
            _KIND.WORKER_REPEATS: self._worker_events.repeat_refusals,
            _KIND.RESUMES_FAIL: self._worker_events.answer_resumes_wrongly,
            _KIND.WORKER_SILENT: self._worker_events.fall_silent,
            _KIND.ODD_ENTRY: self._worker_events.leave_odd_entry,
            _KIND.EVACUATE: self._worker_events.empty_zone,
            _KIND.PARTITION: self._partition,
            _KIND.REFUSAL_LIMIT: self._worker_events.limit_refusals,
        }

    def _target_daemon(self, event: plan_lib.Event) -> int:
        return event.target % len(self._daemons)

    async def _kill(self, event: plan_lib.Event) -> None:
        number = self._target_daemon(event)
        with self._observations.record_fault(_SCOPE.ALL, number):
            self._daemons[number].kill_and_wait()
            await anyio.sleep(event.for_s)
            await self._start_daemon(number)

    async def _kill_all(self, event: plan_lib.Event) -> None:
        """Kills all daemons while streams are under way."""
        async with (
            httpx.AsyncClient(timeout=None) as client,
            anyio.create_task_group() as group,
        ):
            for number in range(_KILLED_STREAMS):
                daemon_number = number % len(self._daemons)
                group.start_soon(
                    self._callers.send_stream, client, daemon_number
                )
            await anyio.sleep(_BEGUN_S)
            with self._observations.record_fault(_SCOPE.ALL):
                for daemon in self._daemons:
                    daemon.kill_and_wait()
                await anyio.sleep(event.for_s)
                async with anyio.create_task_group() as starts:
                    for number in range(len(self._daemons)):
                        starts.start_soon(self._start_daemon, number)

    async def _terminate(self, event: plan_lib.Event) -> None:
        await self._stop_and_restart(self._target_daemon(event))

    async def _roll(self, event: plan_lib.Event) -> None:
        for number in range(len(self._daemons)):
            await self._stop_and_restart(number)
            await anyio.sleep(event.for_s)

    async def _stop_and_restart(self, number: int) -> None:
        with self._observations.record_fault(
            _SCOPE.STOP, number
        ) as fault_period:
            await self._terminate_within_grace(number, fault_period.since)
            await self._start_daemon(number)

    async def _terminate_within_grace(self, number: int, since: float) -> None:
        """Sends SIGTERM and further signals, then SIGKILL after the grace."""
        daemon = self._daemons[number]
        process_id = daemon.process_id
        daemon.send(signal.SIGTERM)
        further = itertools.cycle(_FURTHER_SIGNALS)
        # Earlier builds end at them.
        bears_further = len(self._build_plan.trees) == 1
        with anyio.move_on_after(daemons_lib.GRACE_S + _GRACE_SLACK_S):
            while daemon.running and daemon.process_id == process_id:
                if bears_further:
                    daemon.send(next(further))
                await anyio.sleep(_EXIT_CHECK_INTERVAL_S)
        if daemon.running and daemon.process_id == process_id:
            if not self._observations.affected(
                number, since, time.monotonic(), _SCOPE.ALL
            ):
                self._observations.grace_exceeded.append(daemon.name)
            with self._observations.record_fault(_SCOPE.ALL, number):
                daemon.kill_and_wait()

    async def _start_daemon(self, number: int) -> None:
        """Starts a daemon and waits until the daemon listens."""
        daemon = self._daemons[number]
        daemon.start()
        with anyio.move_on_after(_START_TIMEOUT_S):
            while daemon.running and not await daemon.listens():
                await anyio.sleep(0.05)

    async def _replace(self, replacement: builds.Replacement) -> None:
        """Ends a daemon and starts one of another build in its place."""
        number = replacement.daemon
        daemon = self._daemons[number]
        with self._observations.record_fault(
            _SCOPE.STOP, number
        ) as fault_period:
            # Other events that restart the daemon take the build too.
            daemon.tree = replacement.tree
            await self._terminate_within_grace(number, fault_period.since)
            if replacement.moves and not daemon.running:
                daemon.name = f"moved-{daemon.name}"
                daemon.ports = daemons_lib.make_ports()
                seeds = [item.ports.peers for item in self._daemons]
                daemon.write_settings(self._store_links[number].port, seeds)
                self._caller_links[number].forward_to(daemon.ports.front)
            await self._start_daemon(number)

    async def _pause(self, event: plan_lib.Event) -> None:
        number = self._target_daemon(event)

        def set_fault(on: bool) -> None:
            sent = signal.SIGSTOP if on else signal.SIGCONT
            self._daemons[number].send(sent)

        with self._observations.record_fault(_SCOPE.ALL, number):
            await self._faults.apply((_KIND.PAUSE, number), event, set_fault)

    async def _reload(self, event: plan_lib.Event) -> None:
        self._daemons[self._target_daemon(event)].send(signal.SIGHUP)

    async def _clock(self, event: plan_lib.Event) -> None:
        number = self._target_daemon(event)
        step_s = _CLOCK_STEP_S if event.draw % 2 else -_CLOCK_STEP_S

        def set_fault(on: bool) -> None:
            self._daemons[number].step_clock(step_s if on else 0.0)

        with self._observations.record_fault(_SCOPE.ALL, number):
            await self._faults.apply((_KIND.CLOCK, number), event, set_fault)

    async def _apply_link_fault(
        self, event: plan_lib.Event, link: links.Link
    ) -> None:
        mode = _LINK_MODES[event.draw % len(_LINK_MODES)]

        def set_fault(on: bool) -> None:
            link.set_mode(mode if on else links.LinkMode.PASS)

        await self._faults.apply(link, event, set_fault)

    async def _store_link(self, event: plan_lib.Event) -> None:
        number = self._target_daemon(event)
        with self._observations.record_fault(_SCOPE.ALL, number):
            await self._apply_link_fault(event, self._store_links[number])

    async def _caller_link(self, event: plan_lib.Event) -> None:
        number = self._target_daemon(event)
        with self._observations.record_fault(_SCOPE.ALL, number):
            await self._apply_link_fault(event, self._caller_links[number])

    async def _worker_link(self, event: plan_lib.Event) -> None:
        # Excuses all bounds, since requests that the link held back reach the
        # worker late.
        with self._observations.record_fault(_SCOPE.ALL):
            await self._apply_link_fault(
                event, self._backends.choose_site(event.target).link
            )

    async def _partition(self, event: plan_lib.Event) -> None:
        number = self._target_daemon(event)
        ports = [site.link.port for site in self._backends.sites]
        silent = event.draw % 2 == 0
        self._daemons[number].block(ports, silent=silent)
        since = time.monotonic()
        await anyio.sleep(event.for_s)
        self._observations.partitions.append((number, since, time.monotonic()))
        self._daemons[number].block([], silent=silent)

    async def _configure(self, event: plan_lib.Event) -> None:
        self._backends.toggle_route(callers_lib.EXTRA_ROUTE)

    async def _prompt_crashes(self, event: plan_lib.Event) -> None:
        """Sends prompts with a block that crashes servers, and sound ones."""
        bad = (_SHARED_BLOCK, backends_lib.CRASHING_BLOCK)
        if event.draw % 2:
            bad = bad[::-1]
        await self._send_crashing(
            event,
            ((callers_lib.STREAM_ROUTE, b"", bad),)
            + ((callers_lib.STREAM_ROUTE, b"", (_SHARED_BLOCK, "cc")),) * 2,
        )

    async def _request_crashes(self, event: plan_lib.Event) -> None:
        """Sends one request again and again that crashes workers."""
        routes = (callers_lib.SAFE_ROUTE, callers_lib.AT_MOST_ONCE_ROUTE)
        route = routes[event.draw % len(routes)]
        body = backends_lib.CRASHING_BODY
        # All daemons get a copy at the same moment.
        copies = len(self._daemons)
        await self._send_crashing(event, ((route, body, ()),), copies)

    async def _send_crashing(
        self,
        event: plan_lib.Event,
        requests: Sequence[tuple[str, bytes, tuple[str, ...]]],
        copies: int = 1,
    ) -> None:
        """Sends requests for the duration of an event.

        Args:
          event: the event.
          requests: route, body and blocks of each request.
          copies: number of daemons that get the requests at once.
        """
        with self._observations.record_fault(_SCOPE.ANSWERS):
            async with (
                httpx.AsyncClient(timeout=2.0) as client,
                anyio.create_task_group() as group,
            ):
                with anyio.move_on_after(event.for_s):
                    for number in itertools.count(event.target):
                        for copy, (route, body, blocks) in itertools.product(
                            range(copies), requests
                        ):
                            group.start_soon(
                                self._callers.send_request,
                                client,
                                (number + copy) % len(self._daemons),
                                route,
                                standin_program.KEY,
                                body,
                                blocks,
                            )
                        await anyio.sleep(_CRASHING_INTERVAL_S)
            # Until the last crashed worker is back.
            await anyio.sleep(_CRASHED_S)

    async def _revoke(self, event: plan_lib.Event) -> None:
        self._backends.revoke(_OLD_KEY)


async def play(
    seed: int, folder: pathlib.Path, old_build: pathlib.Path | None = None
) -> Result:
    """Plays one seed; settings and logs are written to the folder.

    Args:
      seed: the seed.
      folder: the folder.
      old_build: folder of another build that some daemons run.
    """
    async with anyio.create_task_group() as group:
        build_plan = builds.make_build_plan(seed, old_build)
        soak = Soak(group, seed, folder, build_plan)
        events = builds.borne(plan_lib.make_plan(seed), old_build)
        result = await soak.run(events)
        group.cancel_scope.cancel()
    return result
