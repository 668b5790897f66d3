"""Records of the requests and of the engine work of one benchmark run.

The simulated daemons (`fleet_daemon`) write them; `measures` evaluates them.
"""

import collections

import attrs

from bench import traffic


@attrs.define(eq=False)
class RequestRecord:
    """Outcome of one request.

    Attributes:
      arrival: arrival of the request.
      daemon: index of the daemon that last accepted the request.
      result: "answered", or the reason why the request was not answered.
      first_byte_at: time of the first byte, or None.
      ended_at: time of the end of the request, or None.
      dispatched_at: time of the last dispatch to an engine, or None.
      tokens_done: tokens that a resumed attempt need not generate again.
      may_have_run: whether an engine may have run the request.
      returns: number of retries by the caller after a refusal.
    """

    arrival: traffic.Arrival
    daemon: int
    result: str = ""
    first_byte_at: float | None = None
    ended_at: float | None = None
    dispatched_at: float | None = None
    tokens_done: int = 0
    may_have_run: bool = False
    returns: int = 0


@attrs.define
class WorkTotals:
    """Useful and wasted engine steps, and counts of events.

    Attributes:
      useful: steps of attempts whose output reached a caller.
      wasted: steps of other attempts.
      crashes: number of engine crashes; nothing counts them at present.
      inversions: requests of a daemon refused or dropped because of load
        while a lower tier had more than one request in its queue (the next
        request to dispatch does not count), and requests refused by engines
        while a request of a lower tier waited at an engine.
      preempted: number of preempted attempts.
      reasons: number of refusals and failures by reason.
      dispatches: times of dispatch by request class.
    """

    useful: float = 0.0
    wasted: float = 0.0
    crashes: int = 0
    inversions: int = 0
    preempted: int = 0
    reasons: collections.Counter[str] = attrs.field(factory=collections.Counter)
    dispatches: dict[str, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
