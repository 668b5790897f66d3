"""What a run of the benchmark keeps of each request and of the engines."""

import collections

import attrs

from bench import traffic


@attrs.define(eq=False)
class Record:
    """What became of one request.

    Attributes:
      arrival: the request.
      daemon: index of the daemon.
      result: "answered", or the reason it was not.
      first_byte_at: when the first byte came, or None.
      ended_at: when it ended, or None.
      dispatched_at: when it was last sent to an engine, or None.
      tokens_done: tokens that a resumed attempt need not repeat.
      may_have_run: whether an engine may have run it.
      returns: how often the caller came back after a refusal.
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
class Work:
    """Engine steps by what became of them, and other counts.

    Attributes:
      useful: steps of attempts whose output reached a caller.
      wasted: steps of other attempts.
      crashes: engines lost.
      inversions: requests lost to load while more lower-tier work was kept
        than the next request of each class.
      preempted: requests cancelled for a higher tier.
      reasons: refusals by reason.
      dispatches: times of dispatch by class.
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
