"""Simulates the schedulers of several daemons and fake engines.

The simulation runs in virtual time. Load reports are delayed and may be lost.
Refused callers retry after the advised time, or after about a second if none
was given.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import itertools
import random
from typing import Final

import attrs

from bench import fake_engine
from bench import fleet_daemon
from bench import run_records
from bench import traffic
from bench import virtual_time
from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import scheduler_api

REPORT_INTERVAL_S: Final = 0.5
_MAX_CALLER_RETRIES: Final = 4
_DEFAULT_RETRY_WAIT_S: Final = 1.0
_RETRY_JITTER: Final = 0.2
_BLAME_INTERVAL_S: Final = 0.5


@attrs.frozen
class FleetSettings:
    """Composition of the fleet, its load reports and its faults.

    Attributes:
      servers: backend servers.
      zones: availability zones, one for each daemon.
      duration_s: length of the run.
      report_lag_s: delay of load reports.
      report_loss: share of load reports that are lost.
      weights: weight by customer; 1 for customers without an entry.
      faults: called with the fleet before the run to schedule its faults.
    """

    servers: Sequence[backend_server.BackendServer]
    zones: Sequence[str]
    duration_s: float = 90.0
    report_lag_s: float = 0.5
    report_loss: float = 0.0
    weights: dict[str, float] = attrs.field(factory=dict)
    faults: Callable[["Fleet"], None] = lambda fleet: None


def make_engine_server(
    name: str, zone: str, slots: int = 16, reclaimable: bool = False
) -> backend_server.BackendServer:
    """Creates the backend server entry of one engine."""
    return backend_server.BackendServer(
        name,
        "",
        zone,
        models=(fleet_daemon.MODEL,),
        slots=slots,
        reclaimable=reclaimable,
        cost=0.4 if reclaimable else 1.0,
    )


class Fleet:
    """Daemons and engines of one run, and the records of its requests."""

    def __init__(
        self,
        settings: FleetSettings,
        arrivals: Sequence[traffic.Arrival],
        make_scheduler: Callable[[str, int], scheduler_api.Scheduler],
        uses_blame: bool,
        seed: int,
    ) -> None:
        """Initializes the daemons and engines and schedules the arrivals."""
        self.settings = settings
        self.time = virtual_time.VirtualTime()
        self.is_partitioned = False
        self.work = run_records.WorkTotals()
        self.records: list[run_records.RequestRecord] = []
        self.engines: Mapping[str, fake_engine.FakeEngine] = {
            item.name: fake_engine.FakeEngine(item.name, item.slots, self.time)
            for item in settings.servers
        }
        self._server_zones = {item.name: item.zone for item in settings.servers}
        self._random = random.Random(seed)
        names = {item.customer for item in arrivals}
        configuration = configuration_lib.Configuration(
            servers=tuple(settings.servers),
            classes=traffic.CLASSES,
            customers=tuple(
                customer_lib.Customer(name, settings.weights.get(name, 1.0))
                for name in sorted(names)
            ),
        )
        self.daemons = [
            fleet_daemon.Daemon(
                self,
                index,
                zone,
                make_scheduler(zone, seed + index),
                uses_blame,
            )
            for index, zone in enumerate(settings.zones)
        ]
        for daemon in self.daemons:
            daemon.scheduler.set_configuration(configuration)
            in_zone = settings.zones.count(daemon.zone)
            daemon.scheduler.set_live_daemons(in_zone, len(settings.zones))
        for arrival in arrivals:
            chosen = self._random.choice(self.daemons)
            self.time.at(
                arrival.at, functools.partial(chosen.accept_arrival, arrival)
            )
        self.time.every(REPORT_INTERVAL_S, self._send_load_reports)
        if uses_blame:
            self.time.every(_BLAME_INTERVAL_S, self._exchange_blame)
        settings.faults(self)

    def run(self) -> None:
        """Runs for the whole duration, then until every deadline has passed."""
        self.time.run_until(self.settings.duration_s + 95.0)

    def schedule_retry(
        self, record: run_records.RequestRecord, advised_wait_s: float | None
    ) -> None:
        """Schedules a retry at a random daemon if it falls before the deadline.

        Args:
          record: the refused request.
          advised_wait_s: wait that the refusal advised, or None.
        """
        level = record.arrival.stream.request_class.service_level
        wait_s = (
            advised_wait_s
            if advised_wait_s is not None
            else _DEFAULT_RETRY_WAIT_S
        )
        wait_s *= 1.0 + _RETRY_JITTER * self._random.random()
        deadline = record.arrival.at + level.deadline_s
        if record.returns < _MAX_CALLER_RETRIES and (
            self.time.now + wait_s < deadline
        ):
            record.returns += 1
            chosen = self._random.choice(self.daemons)
            self.time.after(wait_s, functools.partial(chosen.accept, record))

    def _exchange_blame(self) -> None:
        now = self.time.now
        digests = [daemon.blame.digest(now) for daemon in self.daemons]
        for sender, receiver in itertools.permutations(self.daemons, 2):
            receiver.blame.merge(digests[self.daemons.index(sender)], now)

    def _send_load_reports(self) -> None:
        for engine in self.engines.values():
            if not engine.alive:
                continue
            load = scheduler_api.ServerLoad(
                engine.name, engine.running, engine.waiting, self.time.now
            )
            zone = self._server_zones[engine.name]
            for daemon in self.daemons:
                if self.is_partitioned and daemon.zone != zone:
                    continue
                if self._random.random() >= self.settings.report_loss:
                    deliver = functools.partial(
                        daemon.scheduler.report_load, load
                    )
                    self.time.after(self.settings.report_lag_s, deliver)
