"""Plays the events of a soak that concern workers."""

import itertools
import time
from typing import Final

import anyio

from figstream_platform import standin_answers
from figstream_platform import standin_worker
from soak import backends as backends_lib
from soak import checks
from soak import plan as plan_lib

# Number of faulty answers of a worker, and the time until unused faults are
# removed.
_FAULTY_ANSWERS: Final = 4
_FAULTY_ANSWERS_LIMIT_S: Final = 4.0
# Streams that each worker breaks off, and wrong answers to requests for the
# rest of a stream. Success without events is left out: it is passed on to a
# caller that takes up a stream, and looks like a complete one.
_BROKEN_STREAMS: Final = 3
_WRONG_RESTS: Final = tuple(
    item
    for name, item in standin_answers.RESUMED_ANSWERS.items()
    if not name.startswith("JSON")
)
_MODEL: Final = "model"
_RENDER: Final = "render"
# Time between two workers of a release, and for which each drains.
_RELEASE_GAP_S: Final = 0.5
_DRAIN_S: Final = checks.PROPAGATION_LIMIT_S + 0.5
# Least time for which a zone is empty, so that some is left to be judged.
_EMPTIED_S: Final = checks.PROPAGATION_LIMIT_S + 1.0
# Entries that name no worker to use, as another writer may leave them.
_ODD_ENTRIES: Final = (
    b"[" * 20_000 + b"]" * 20_000,
    b'{"a":' * 300 + b"1" + b"}" * 300,
    b'{"service":"model","slots":1e400,"state":"ready"}',
    b'{"service":"model","zone":"a","address":"127.0.0.1:9","version":"v1",'
    b'"slots":18446744073709551615,"state":"ready"}',
    b'{"service":"model","zone":"a","address":"127.0.0.1:%b","slots":16,'
    b'"state":"ready"}' % (b"9" * 5_000),
    b'{"service":"render","zone":"\xff\xfe"}',
)
_SCOPE = checks.Scope


class WorkerEvents:
    """Crashes, drains and replaces workers, or lets them answer wrongly."""

    def __init__(
        self,
        backends: backends_lib.Backends,
        observations: checks.Observations,
    ) -> None:
        """Initializes the events for the workers of a soak."""
        self._backends = backends
        self._observations = observations
        self._crashed: set[str] = set()
        self._emptied: set[str] = set()

    async def crash(self, event: plan_lib.Event) -> None:
        """Crashes a worker; another one starts in its place."""
        site = self._backends.choose_site(event.target)
        if site.draining or site.worker.name in self._crashed:
            return
        self._crashed.add(site.worker.name)
        with self._observations.record_fault(_SCOPE.ANSWERS):
            self._backends.crash(site)
            await anyio.sleep(event.for_s)
            await self._backends.restart(site)

    async def limit_refusals(self, event: plan_lib.Event) -> None:
        """Lets workers of a service crash if they refuse too many requests."""
        since = time.monotonic()
        self._backends.set_refusal_limit(_RENDER, limited=True)
        await anyio.sleep(event.for_s)
        self._observations.refusal_limit_periods.append(
            (since, time.monotonic())
        )
        self._backends.set_refusal_limit(_RENDER, limited=False)

    async def release(self, event: plan_lib.Event) -> None:
        """Replaces model workers one by one by such of other software.

        In half of the releases one worker keeps its software.
        """
        sites = [x for x in self._backends.sites if x.service == _MODEL]
        async with anyio.create_task_group() as group:
            for site in sites[event.draw % 2 :]:
                group.start_soon(self._release_site, site)
                await anyio.sleep(_RELEASE_GAP_S)

    async def _release_site(self, site: backends_lib.WorkerSite) -> None:
        if site.draining or site.worker.name in self._crashed:
            return
        end_old = await self._backends.release(site)
        await anyio.sleep(_DRAIN_S)
        end_old()

    async def answer_wrongly(self, event: plan_lib.Event) -> None:
        """Lets the next answers of a worker be faulty."""
        with self._observations.record_fault(_SCOPE.ANSWERS):
            fault = backends_lib.FAULTS[event.draw % len(backends_lib.FAULTS)]
            worker = self._backends.choose_site(event.target).worker
            worker.faults.extend([fault] * _FAULTY_ANSWERS)
            await anyio.sleep(_FAULTY_ANSWERS_LIMIT_S)
            worker.faults.clear()

    async def repeat_refusals(self, event: plan_lib.Event) -> None:
        """Lets a worker refuse requests, and later send the refusals again."""
        refusals = backends_lib.REFUSALS
        repeats = backends_lib.REPEATED_FAULTS
        refusal = refusals[event.draw % len(refusals)]
        repeat = repeats[event.draw // len(refusals) % len(repeats)]
        with self._observations.record_fault(_SCOPE.ANSWERS):
            worker = self._backends.choose_site(event.target).worker
            faults = [refusal] * _FAULTY_ANSWERS + [repeat] * _FAULTY_ANSWERS
            worker.faults.extend(faults)
            await anyio.sleep(_FAULTY_ANSWERS_LIMIT_S)
            worker.faults.clear()

    async def answer_resumes_wrongly(self, event: plan_lib.Event) -> None:
        """Lets workers break streams off and answer wrongly for their rest."""
        workers = [
            x.worker for x in self._backends.sites if x.service == _MODEL
        ]
        wrong = itertools.cycle(_WRONG_RESTS)
        rests = itertools.islice(wrong, event.draw % len(_WRONG_RESTS), None)
        with self._observations.record_fault(_SCOPE.ANSWERS):
            for worker in workers:
                cuts = [standin_worker.Fault.CUT] * _BROKEN_STREAMS
                worker.faults.extend(cuts)
                worker.resumed_answers.extend(
                    itertools.islice(rests, _FAULTY_ANSWERS)
                )
            await anyio.sleep(_FAULTY_ANSWERS_LIMIT_S)
            for worker in workers:
                worker.faults.clear()
                worker.resumed_answers.clear()

    async def fall_silent(self, event: plan_lib.Event) -> None:
        """Lets a sound worker send nothing for a while; excuses nothing."""
        worker = self._backends.choose_site(event.target).worker
        worker.silent_until = time.monotonic() + event.for_s
        await anyio.sleep(event.for_s)

    async def leave_odd_entry(self, event: plan_lib.Event) -> None:
        """Writes an entry that nobody can use; half of them stay."""
        value = _ODD_ENTRIES[event.draw % len(_ODD_ENTRIES)]
        name = f"odd-{event.target}"
        self._backends.store.put_bytes("servers", name, value)
        await anyio.sleep(event.for_s)
        if event.target % 2:
            self._backends.store.remove("servers", name)

    async def empty_zone(self, event: plan_lib.Event) -> None:
        """Empties a zone, unless it is empty, and takes it back."""
        zone = backends_lib.ZONES[event.target % len(backends_lib.ZONES)]
        if zone in self._emptied:
            return
        self._emptied.add(zone)
        self._backends.set_emptied(zone, emptied=True)
        since = time.monotonic()
        await anyio.sleep(_EMPTIED_S + event.for_s)
        self._observations.evacuations.append((zone, since, time.monotonic()))
        self._backends.set_emptied(zone, emptied=False)
        self._emptied.discard(zone)

    async def drain(self, event: plan_lib.Event) -> None:
        """Drains a worker until the soak ends."""
        site = self._backends.choose_site(event.target)
        if site.worker.name not in self._crashed:
            self._backends.drain(site)
