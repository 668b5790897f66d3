"""The promises, checked from what callers, workers and the store saw."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math
import re
from typing import Final

import attrs

from figstream_platform import callers as wire
from figstream_platform import standin_program
from figstream_platform import standin_store
from figstream_platform import standin_worker
from figstream_platform import workers
from soak import callers

# Statuses that promise that a request has not run and never will.
_NOT_RUN: Final = frozenset({408, 421, 429, 503})
_SIGNATURE: Final = standin_worker.SIGNATURE.decode()
_REQUEST_ID: Final = wire.REQUEST_ID.decode()
_CUSTOMER: Final = workers.CUSTOMER.decode()
_KEY: Final = wire.AUTHORIZATION.decode()
_EVENT: Final = re.compile(rb"id: (\d+)\ndata: (\S+)\n\n")
# Seconds in which a change must be in force.
IN_FORCE_S: Final = 2.0
# Seconds before a moment for which a daemon must have been left alone if a
# bound is to hold at it.
CONTACT_S: Final = 3.0
# Seconds after the end of a pause or a cut in which what was held back
# arrives.
THAW_S: Final = 0.5
# Seconds within which duties must not go to another daemon and back.
LEASE_S: Final = 1.0


class Scope(enum.Enum):
    """What a trouble excuses."""

    ALL = "all"  # Every bound of the daemon.
    ANSWERS = "answers"  # Answers that break off, since workers did.
    STOP = "stop"  # A planned stop: bounds, but no answer that breaks off.


@attrs.define
class Trouble:
    """A time in which something was wrong.

    Attributes:
      scope: what it excuses.
      daemon: number of the daemon, None for all.
      since: when it began.
      until: when it ended.
    """

    scope: Scope
    daemon: int | None
    since: float
    until: float = math.inf

    def touches(self, daemon: int, since: float, until: float) -> bool:
        """Returns whether it concerns a daemon within a time."""
        if self.daemon not in {None, daemon}:
            return False
        return self.since <= until and self.until >= since


@attrs.define
class Seen:
    """What a soak saw; times are monotonic seconds.

    Attributes:
      sent: requests of callers.
      runs: what each worker ran, by its name.
      duties: reports and orders that the platform got.
      troubles: when which daemon was not left alone.
      drained: when the store took the draining of a worker, by its name.
      removed: when the store took the removal of a route, by its name.
      revoked: when the store took the removal of a key, by key.
      events: events of a whole stream.
      overstayed: daemons that outlived their grace time.
      unrecovered: what did not work again after the faults, "" if all did.
    """

    sent: list[callers.Sent] = attrs.field(factory=list)
    runs: dict[str, list[standin_worker.Run]] = attrs.field(factory=dict)
    duties: list[standin_store.DutyCall] = attrs.field(factory=list)
    troubles: list[Trouble] = attrs.field(factory=list)
    drained: dict[str, float] = attrs.field(factory=dict)
    removed: list[tuple[str, float, float]] = attrs.field(factory=list)
    revoked: dict[str, float] = attrs.field(factory=dict)
    events: int = 3
    overstayed: list[str] = attrs.field(factory=list)
    unrecovered: str = ""

    def touched(
        self, daemon: int, since: float, until: float, *scopes: Scope
    ) -> bool:
        """Returns whether a trouble of these scopes concerns a daemon."""
        return any(
            item.scope in scopes and item.touches(daemon, since, until)
            for item in self.troubles
        )

    def in_touch(self, daemon: int, since: float, until: float) -> bool:
        """Returns whether bounds hold for a daemon throughout a time."""
        since -= CONTACT_S
        return not self.touched(daemon, since, until, Scope.ALL, Scope.STOP)

    def all_runs(self) -> Iterable[tuple[str, standin_worker.Run]]:
        """Returns every run with the name of its worker."""
        for name, runs in self.runs.items():
            for run in runs:
                yield name, run


def broken_promises(seen: Seen) -> list[str]:
    """Returns a line for each promise that was broken, and by what."""
    return [line for check in _CHECKS for line in check(seen)]


def _once(seen: Seen) -> Iterable[str]:
    counts: dict[str, list[str]] = {}
    for name, run in seen.all_runs():
        counts.setdefault(run.request_id, []).append(name)
    for sent in seen.sent:
        runs = counts.get(sent.request_id, [])
        if sent.route == callers.ONCE_ROUTE and len(runs) > 1:
            yield f"{sent.request_id} may run once and ran at {runs}"


def _true_refusals(seen: Seen) -> Iterable[str]:
    ran = {run.request_id for _, run in seen.all_runs()}
    for sent in seen.sent:
        refused = sent.whole and sent.status in _NOT_RUN
        unsafe = sent.route == callers.ONCE_ROUTE
        if refused and unsafe and sent.request_id in ran:
            yield f"{sent.request_id} was refused with {sent.status} and ran"


def _own_answers(seen: Seen) -> Iterable[str]:
    for sent in seen.sent:
        if not sent.whole or sent.status != 200:
            continue
        if sent.headers.get(_REQUEST_ID) != sent.request_id:
            yield f"{sent.request_id} got the answer of another request"
        signer = sent.headers.get(_SIGNATURE, "").rpartition(" ")[2].encode()
        if sent.route == callers.STREAM_ROUTE:
            events = _EVENT.findall(sent.body)
            numbers = [int(number) for number, _ in events]
            joined = b"".join(b"id: %b\ndata: %b\n\n" % x for x in events)
            if numbers != list(range(1, seen.events + 1)):
                yield f"{sent.request_id} got events {numbers} as a whole"
            elif joined != sent.body or events[0][1] != signer:
                yield f"{sent.request_id} got a stream that is not its own"
        elif sent.body != b"answer " + signer:
            yield f"{sent.request_id} got {sent.body!r} signed by {signer!r}"


def _asked_for(seen: Seen) -> Iterable[str]:
    sent = {item.request_id: item for item in seen.sent}
    for name, run in seen.all_runs():
        asked = sent.get(run.request_id)
        if asked is None:
            yield f"{name} ran {run.request_id!r}, which nobody sent"
        elif (
            run.method != "POST"
            or run.target != f"/{asked.route}/x"
            or run.body != asked.request_id.encode()
        ):
            yield f"{name} ran {run.request_id} with other contents"
        if run.headers.get(_CUSTOMER) != standin_program.CUSTOMER:
            yield f"{name} ran {run.request_id} for another customer"
        if _KEY in run.headers:
            yield f"{name} was shown the key of {run.request_id}"


def _drains(seen: Seen) -> Iterable[str]:
    sent = {item.request_id: item for item in seen.sent}
    for name, at in seen.drained.items():
        for run in seen.runs.get(name, []):
            asked = sent.get(run.request_id)
            late_s = run.at - at - IN_FORCE_S
            if asked and late_s > 0 and seen.in_touch(asked.daemon, at, run.at):
                yield (
                    f"{run.request_id} reached {name} {late_s:.2f} s too late"
                )


def _configuration(seen: Seen) -> Iterable[str]:
    for sent in seen.sent:
        dead = [
            at
            for route, at, back in seen.removed
            if route == sent.route and at + IN_FORCE_S < sent.at < back
        ]
        if sent.key in seen.revoked:
            dead.append(seen.revoked[sent.key])
        for at in dead:
            late_s = sent.at - at - IN_FORCE_S
            calm = seen.in_touch(sent.daemon, at, sent.at)
            if late_s > 0 and calm and sent.status == 200:
                yield f"{sent.request_id} was served {late_s:.2f} s too late"


def _kept_connections(seen: Seen) -> Iterable[str]:
    """A daemon that is left alone, or stops as planned, ends no answer."""
    ran = {run.request_id for _, run in seen.all_runs()}
    for sent in seen.sent:
        if sent.whole or sent.left:
            continue
        span = (sent.daemon, sent.at - CONTACT_S, sent.ended_at)
        if seen.touched(*span, Scope.ALL, Scope.ANSWERS):
            continue
        stopping = seen.touched(*span, Scope.STOP)
        if not stopping or sent.request_id in ran:
            yield (
                f"{sent.request_id} at daemon {sent.daemon} ended with "
                f"{sent.fault or 'no answer'} after "
                f"{sent.ended_at - sent.at:.2f} s"
            )


def _grace(seen: Seen) -> Iterable[str]:
    for name in seen.overstayed:
        yield f"{name} outlived its grace time"


def _recovery(seen: Seen) -> Iterable[str]:
    if seen.unrecovered:
        yield seen.unrecovered


def _one_report(seen: Seen) -> Iterable[str]:
    counts: dict[int, dict[str, int]] = {}
    for duty in seen.duties:
        if duty.path != "/usage":
            continue
        window = duty.fields["windowId"]
        first = counts.setdefault(window, duty.fields["counts"])
        if first != duty.fields["counts"]:
            yield f"window {window} was reported with other counts"


def _one_holder(seen: Seen) -> Iterable[str]:
    highest = 0
    holders: dict[int, str] = {}
    order: list[standin_store.DutyCall] = []
    for duty in seen.duties:
        holder = holders.setdefault(duty.fencing, duty.holder)
        if holder != duty.holder:
            yield f"{holder} and {duty.holder} both used {duty.fencing}"
        # What a pause or a cut held back may arrive as it ends.
        daemon = int(duty.holder.rpartition("-")[2])
        if seen.touched(daemon, duty.at - THAW_S, duty.at, Scope.ALL):
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
            if back_s < LEASE_S:
                yield f"duties were back at {duty.holder} in {back_s:.2f} s"


_CHECKS: Final[Sequence[Callable[[Seen], Iterable[str]]]] = (
    _once,
    _true_refusals,
    _own_answers,
    _asked_for,
    _drains,
    _configuration,
    _kept_connections,
    _grace,
    _recovery,
    _one_report,
    _one_holder,
)
