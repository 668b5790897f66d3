"""Checks the promises of the router after a soak.

The checks compare the records of callers, workers and the store, and excuse
only violations that a fault of the plan explains.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import enum
import math
import re
import time
from typing import Final

import attrs

from figstream import reasons
from figstream_platform import callers as wire
from figstream_platform import standin_program
from figstream_platform import standin_store
from figstream_platform import standin_worker
from figstream_platform import workers
from soak import backends
from soak import callers

# Statuses which guarantee that a request has not run and will not run.
_NOT_RUN: Final = frozenset({408, 421, 429, 503})
_SIGNATURE: Final = standin_worker.SIGNATURE.decode()
_REQUEST_ID: Final = wire.REQUEST_ID.decode()
_CUSTOMER: Final = workers.CUSTOMER.decode()
_KEY: Final = wire.AUTHORIZATION.decode()
_EVENT: Final = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# Limit for a change to become active on every daemon.
PROPAGATION_LIMIT_S: Final = 2.0
# Bounds apply to a daemon only if no fault affected the daemon for this long
# before.
SETTLING_TIME_S: Final = 3.0
# Messages that a pause or a network fault held back arrive within this time
# after its end.
HELD_BACK_ARRIVAL_S: Final = 0.5
# Duties must not move to another daemon and back within this time.
MIN_RETURN_TIME_S: Final = 1.0
# Requests that may run after they have crashed enough backend servers.
MAX_LATE_CRASHES: Final = 3
# Requests from which the share that is served says something.
_MIN_JUDGED: Final = 12
# Crashes of the workers of a service by refusals, in one period.
MAX_REFUSAL_CRASHES: Final = 2
_PROMPT_REFUSAL: Final = (
    reasons.RefusalReason.PROMPT_CRASHES_SERVERS.value.encode()
)


class Scope(enum.Enum):
    """Kinds of violations that a fault excuses."""

    ALL = "all"  # All bounds of the daemon.
    ANSWERS = "answers"  # Incomplete answers caused by workers.
    STOP = "stop"  # A planned stop excuses bounds, no incomplete answer.


@attrs.define
class FaultPeriod:
    """Period in which a fault affected one daemon or all.

    Attributes:
      scope: kinds of violations excused.
      daemon: number of the affected daemon, None for all.
      since: start in monotonic seconds.
      until: end in monotonic seconds, infinite while the fault lasts.
    """

    scope: Scope
    daemon: int | None
    since: float
    until: float = math.inf

    def affects(self, daemon: int, since: float, until: float) -> bool:
        """Returns whether the fault affects a daemon within a period."""
        if self.daemon not in {None, daemon}:
            return False
        return self.since <= until and self.until >= since


@attrs.define
class Observations:
    """Observations of a soak; times are in monotonic seconds.

    Attributes:
      sent: requests of callers with their answers.
      runs: requests that each worker ran, by worker name.
      duties: reports and orders that the stand-in of the platform received.
      fault_periods: periods in which faults affected daemons.
      drained: time when draining was stored, by worker name.
      zones: zone of each worker, by its name.
      evacuations: zone that was emptied, since when and until when.
      removed: route name, time of its removal and time of its return
        (infinite if the route was not added again).
      revoked: time when the removal of a key was stored, by key.
      partitions: daemon that could not open connections to workers, since when
        and until when.
      refusal_limit_periods: start and end of each period in which
        workers had a refusal limit.
      refusal_crashes_at: times at which refusals crashed a worker.
      software: software version of each worker, by its name.
      events: number of events in a complete stream.
      grace_exceeded: names of daemons that ran beyond their grace time.
      recovery_failure: message if daemons did not recover after the faults,
        else "".
    """

    sent: list[callers.SentRequest] = attrs.field(factory=list)
    runs: dict[str, list[standin_worker.Run]] = attrs.field(factory=dict)
    duties: list[standin_store.DutyCall] = attrs.field(factory=list)
    fault_periods: list[FaultPeriod] = attrs.field(factory=list)
    drained: dict[str, float] = attrs.field(factory=dict)
    zones: dict[str, str] = attrs.field(factory=dict)
    evacuations: list[tuple[str, float, float]] = attrs.field(factory=list)
    removed: list[tuple[str, float, float]] = attrs.field(factory=list)
    revoked: dict[str, float] = attrs.field(factory=dict)
    partitions: list[tuple[int, float, float]] = attrs.field(factory=list)
    refusal_limit_periods: list[tuple[float, float]] = attrs.field(factory=list)
    refusal_crashes_at: list[float] = attrs.field(factory=list)
    software: dict[str, str] = attrs.field(factory=dict)
    events: int = 3
    grace_exceeded: list[str] = attrs.field(factory=list)
    recovery_failure: str = ""

    def affected(
        self, daemon: int, since: float, until: float, *scopes: Scope
    ) -> bool:
        """Returns whether a fault of these scopes affects a daemon."""
        return any(
            item.scope in scopes and item.affects(daemon, since, until)
            for item in self.fault_periods
        )

    @contextlib.contextmanager
    def record_fault(
        self, scope: Scope, daemon: int | None = None
    ) -> Iterator[FaultPeriod]:
        """Records a fault that lasts until the end of the `with` block."""
        period = FaultPeriod(scope, daemon, time.monotonic())
        self.fault_periods.append(period)
        yield period
        period.until = time.monotonic()

    def any_affected(self, since: float, until: float) -> bool:
        """Returns whether any daemon was affected by a fault in a period."""
        return any(
            item.since <= until and item.until >= since
            for item in self.fault_periods
        )

    def bounds_hold(self, daemon: int, since: float, until: float) -> bool:
        """Returns whether bounds apply to a daemon throughout a period."""
        since -= SETTLING_TIME_S
        return not self.affected(daemon, since, until, Scope.ALL, Scope.STOP)

    def all_runs(self) -> Iterable[tuple[str, standin_worker.Run]]:
        """Returns all runs, each with the name of the worker."""
        for name, runs in self.runs.items():
            for run in runs:
                yield name, run


def broken_promises(observed: Observations) -> list[str]:
    """Returns a message for each violation of a promise."""
    return [line for check in _CHECKS for line in check(observed)]


def _at_most_once(observed: Observations) -> Iterable[str]:
    counts: dict[str, list[str]] = {}
    for name, run in observed.all_runs():
        counts.setdefault(run.request_id, []).append(name)
    for sent in observed.sent:
        runs = counts.get(sent.request_id, [])
        if sent.route == callers.AT_MOST_ONCE_ROUTE and len(runs) > 1:
            yield f"{sent.request_id} may run once and ran at {runs}"


def _refused_requests_not_run(observed: Observations) -> Iterable[str]:
    ran = {run.request_id for _, run in observed.all_runs()}
    for sent in observed.sent:
        refused = sent.whole and sent.status in _NOT_RUN
        unsafe = sent.route == callers.AT_MOST_ONCE_ROUTE
        if refused and unsafe and sent.request_id in ran:
            yield f"{sent.request_id} was refused with {sent.status} and ran"


def _answers_match_requests(observed: Observations) -> Iterable[str]:
    for sent in observed.sent:
        if not sent.whole or sent.status != 200:
            continue
        if sent.headers.get(_REQUEST_ID) != sent.request_id:
            yield f"{sent.request_id} got the answer of another request"
        signer = sent.headers.get(_SIGNATURE, "").rpartition(" ")[2].encode()
        if sent.route == callers.STREAM_ROUTE:
            events = _EVENT.findall(sent.body)
            numbers = [int(number) for number, _ in events]
            joined = b"".join(b"id: %b\ndata: %b\n\n" % x for x in events)
            if numbers != list(range(sent.after + 1, observed.events + 1)):
                yield (
                    f"{sent.request_id} got events {numbers} "
                    f"as a complete answer"
                )
            elif joined != sent.body or (events and events[0][1] != signer):
                yield f"{sent.request_id} got a stream that is not its own"
        elif sent.body != b"answer " + signer:
            yield f"{sent.request_id} got {sent.body!r} signed by {signer!r}"


def _streams_keep_software(observed: Observations) -> Iterable[str]:
    """Checks that all events of a stream are of one software version."""
    found: dict[str, set[str]] = {}
    for sent in observed.sent:
        if sent.route != callers.STREAM_ROUTE:
            continue
        software = found.setdefault(sent.resumes or sent.request_id, set())
        for _, worker in _EVENT.findall(sent.body):
            software.add(observed.software.get(worker.decode(), ""))
    for name, software in found.items():
        if len(software) > 1:
            yield f"{name} has events of software {sorted(software)}"


def _runs_match_requests(observed: Observations) -> Iterable[str]:
    sent = {item.request_id: item for item in observed.sent}
    for name, run in observed.all_runs():
        request = sent.get(run.request_id)
        if request is None:
            yield f"{name} ran {run.request_id!r}, which no caller sent"
        elif (
            run.method != "POST"
            or run.target != f"/{request.route}/x"
            or run.body != request.content
        ):
            yield f"{name} ran {run.request_id} with other contents"
        if run.headers.get(_CUSTOMER) != standin_program.CUSTOMER:
            yield f"{name} ran {run.request_id} for another customer"
        if _KEY in run.headers:
            yield f"{name} received the key of {run.request_id}"


def _drain_propagation(observed: Observations) -> Iterable[str]:
    sent = {item.request_id: item for item in observed.sent}
    for name, at in observed.drained.items():
        for run in observed.runs.get(name, []):
            request = sent.get(run.request_id)
            late_s = run.at - at - PROPAGATION_LIMIT_S
            if (
                request
                and late_s > 0
                and observed.bounds_hold(request.daemon, at, run.at)
            ):
                yield (
                    f"{run.request_id} reached {name} {late_s:.2f} s too late"
                )


def _emptied_zones_get_nothing(observed: Observations) -> Iterable[str]:
    sent = {item.request_id: item for item in observed.sent}
    for zone, since, until in observed.evacuations:
        for name, run in observed.all_runs():
            request = sent.get(run.request_id)
            late_s = run.at - since - PROPAGATION_LIMIT_S
            # A daemon that was calm for long enough must have heard since.
            judged_since = max(since, run.at - PROPAGATION_LIMIT_S)
            if (
                request
                and observed.zones.get(name) == zone
                and late_s > 0
                and run.at < until
                and observed.bounds_hold(request.daemon, judged_since, run.at)
            ):
                yield (
                    f"{run.request_id} reached {name} in the emptied zone "
                    f"{zone} {late_s:.2f} s too late"
                )


def _configuration_propagation(observed: Observations) -> Iterable[str]:
    for sent in observed.sent:
        removal_times = [
            at
            for route, at, restored_at in observed.removed
            if route == sent.route
            and at + PROPAGATION_LIMIT_S < sent.at < restored_at
        ]
        if sent.key in observed.revoked:
            removal_times.append(observed.revoked[sent.key])
        for at in removal_times:
            late_s = sent.at - at - PROPAGATION_LIMIT_S
            bound_holds = observed.bounds_hold(sent.daemon, at, sent.at)
            if late_s > 0 and bound_holds and sent.status == 200:
                yield f"{sent.request_id} was served {late_s:.2f} s too late"


def _incomplete_answers_excused(observed: Observations) -> Iterable[str]:
    """Checks that answers end early only at daemons affected by a fault.

    A planned stop excuses requests that no worker has run.
    """
    ran = {run.request_id for _, run in observed.all_runs()}
    for sent in observed.sent:
        if sent.whole or sent.cancelled:
            continue
        span = (sent.daemon, sent.at - SETTLING_TIME_S, sent.ended_at)
        if observed.affected(*span, Scope.ALL, Scope.ANSWERS):
            continue
        stopping = observed.affected(*span, Scope.STOP)
        if not stopping or sent.request_id in ran:
            yield (
                f"{sent.request_id} at daemon {sent.daemon} ended with "
                f"{sent.fault or 'no answer'} after "
                f"{sent.ended_at - sent.at:.2f} s"
            )


def _crashing_requests_refused(observed: Observations) -> Iterable[str]:
    """Checks how many requests run that have crashed enough servers."""
    cases = (
        ("request", 3, lambda x: x.content == backends.CRASHING_BODY),
        ("prompts", 5, lambda x: backends.CRASHING_BLOCK in x.blocks),
    )
    for name, crash_count, crashes in cases:
        sent = {x.request_id: x for x in observed.sent if crashes(x)}
        runs = sorted(
            (run for _, run in observed.all_runs() if run.request_id in sent),
            key=lambda run: run.at,
        )
        if len(runs) < crash_count:
            continue
        known_at = runs[crash_count - 1].at + SETTLING_TIME_S
        late = [
            run.request_id
            for run in runs
            if run.at > known_at
            and observed.bounds_hold(
                sent[run.request_id].daemon, run.at, run.at
            )
        ]
        if len(late) > MAX_LATE_CRASHES:
            yield f"{name} that crash servers still ran as {late}"


def _sound_prompts_served(observed: Observations) -> Iterable[str]:
    """Checks that prompts are not refused for the blocks of others."""
    sound = [
        item
        for item in observed.sent
        if item.blocks and backends.CRASHING_BLOCK not in item.blocks
    ]
    refused = [
        item.request_id for item in sound if _PROMPT_REFUSAL in item.body
    ]
    if len(refused) > len(sound) / 2:
        yield f"of {len(sound)} sound prompts {len(refused)} were refused"


def _partitioned_daemons_serve(observed: Observations) -> Iterable[str]:
    """Checks that a daemon without a path to workers serves its callers."""
    for daemon, cut_at, until in observed.partitions:
        since = cut_at + SETTLING_TIME_S
        if observed.affected(
            daemon, cut_at, until, Scope.ALL, Scope.ANSWERS, Scope.STOP
        ):
            continue
        sent = [
            item
            for item in observed.sent
            if item.daemon == daemon
            and since <= item.at <= until - MIN_RETURN_TIME_S
            and not item.cancelled
            and item.route in callers.LASTING_ROUTES
        ]
        served = sum(item.whole and item.status == 200 for item in sent)
        if len(sent) >= _MIN_JUDGED and served < len(sent) * 2 / 3:
            yield f"daemon {daemon} without a path served {served}/{len(sent)}"


def _refusal_limits_kept(observed: Observations) -> Iterable[str]:
    for limited_at, until in observed.refusal_limit_periods:
        since = limited_at + SETTLING_TIME_S
        if observed.any_affected(limited_at, until):
            continue
        crashes = sum(
            since <= at <= until for at in observed.refusal_crashes_at
        )
        if crashes > MAX_REFUSAL_CRASHES:
            yield f"workers crashed {crashes} times by refusals"


def _grace_time(observed: Observations) -> Iterable[str]:
    for name in observed.grace_exceeded:
        yield f"{name} ran beyond its grace time"


def _recovery(observed: Observations) -> Iterable[str]:
    if observed.recovery_failure:
        yield observed.recovery_failure


def _consistent_usage_counts(observed: Observations) -> Iterable[str]:
    counts: dict[int, dict[str, int]] = {}
    for duty in observed.duties:
        if duty.path != "/usage":
            continue
        window = duty.fields["windowId"]
        first = counts.setdefault(window, duty.fields["counts"])
        if first != duty.fields["counts"]:
            yield f"window {window} was reported with other counts"


def _single_lease_holder(observed: Observations) -> Iterable[str]:
    highest = 0
    holders: dict[int, str] = {}
    order: list[standin_store.DutyCall] = []
    for duty in observed.duties:
        holder = holders.setdefault(duty.fencing, duty.holder)
        if holder != duty.holder:
            yield f"{holder} and {duty.holder} both used {duty.fencing}"
        # Messages held back by a pause or a network fault may arrive late.
        daemon = int(duty.holder.rpartition("-")[2])
        if observed.affected(
            daemon, duty.at - HELD_BACK_ARRIVAL_S, duty.at, Scope.ALL
        ):
            continue
        if duty.fencing < highest:
            yield f"{duty.path}: {duty.fencing} came after {highest}"
        highest = max(highest, duty.fencing)
        if not order or order[-1].holder != duty.holder:
            order.append(duty)
        else:
            order[-1] = duty
        if len(order) > 2 and order[-3].holder == duty.holder:
            back_s = duty.at - order[-3].at
            if back_s < MIN_RETURN_TIME_S:
                yield f"duties returned to {duty.holder} in {back_s:.2f} s"


_CHECKS: Final[Sequence[Callable[[Observations], Iterable[str]]]] = (
    _at_most_once,
    _refused_requests_not_run,
    _answers_match_requests,
    _streams_keep_software,
    _runs_match_requests,
    _drain_propagation,
    _emptied_zones_get_nothing,
    _configuration_propagation,
    _incomplete_answers_excused,
    _crashing_requests_refused,
    _sound_prompts_served,
    _partitioned_daemons_serve,
    _refusal_limits_kept,
    _grace_time,
    _recovery,
    _consistent_usage_counts,
    _single_lease_holder,
)
