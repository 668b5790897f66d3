"""Estimates of service time and of the wait in a queue.

They decide at arrival whether a request can still meet its deadline and its
first-token target. A request that can't is refused at once as not run, with
the time after which a new try makes sense.
"""

import collections
from typing import Final

import attrs

from figstream import class_queue
from figstream import request_target
from figstream import scheduler_api

# Weight of the newest observation.
_SMOOTHING: Final = 0.1
# Weight of a dispatch; the last fifty make most of the mix.
_MIX_SMOOTHING: Final = 0.02
# Part of the slots that a class is taken to have at least.
_MIN_SHARE: Final = 0.02
# Part of the first-token target that a request may wait at least.
_MIN_FIRST_TOKEN_SHARE: Final = 0.5
# Service times of a long request, in usual ones.
_LONG_SERVICE: Final = 2.0


@attrs.define
class _Times:
    """Smoothed times of one class at one target, in seconds."""

    first_byte_s: float
    per_token_s: float
    total_s: float


class ServiceTimes:
    """What requests took lately, by target and class."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._times: dict[tuple[request_target.Target, str], _Times] = {}
        self._slot_s: dict[request_target.Target, float] = {}

    def observe(
        self,
        target: request_target.Target,
        class_name: str,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Takes note of a request that was answered whole."""
        rest_s = max(0.0, report.total_s - report.first_byte_s)
        seen = _Times(
            report.first_byte_s,
            rest_s / max(1, report.output_tokens),
            report.total_s,
        )
        old = self._times.setdefault((target, class_name), seen)
        old.first_byte_s += _step(old.first_byte_s, seen.first_byte_s)
        old.per_token_s += _step(old.per_token_s, seen.per_token_s)
        old.total_s += _step(old.total_s, seen.total_s)
        slot_s = self._slot_s.setdefault(target, report.total_s)
        self._slot_s[target] = slot_s + _step(slot_s, report.total_s)

    def slot_s(self, target: request_target.Target) -> float:
        """Returns how long a request holds a slot; 0 if not yet known."""
        return self._slot_s.get(target, 0.0)

    def first_byte_s(
        self, target: request_target.Target, class_name: str
    ) -> float:
        """Returns the time from dispatch to the first byte."""
        times = self._times.get((target, class_name))
        return times.first_byte_s if times else 0.0

    def total_s(
        self,
        target: request_target.Target,
        class_name: str,
        output_tokens: float,
    ) -> float:
        """Returns the time from dispatch to the end of an answer."""
        times = self._times.get((target, class_name))
        if times is None:
            return 0.0
        if not output_tokens:
            return times.total_s
        return times.first_byte_s + output_tokens * times.per_token_s

    def allowed_wait_s(self, queue: class_queue.ClassQueue) -> float:
        """Returns how long a typical request of a queue may wait."""
        level = queue.request_class.service_level
        name = queue.request_class.name
        times = self._times.get((queue.target, name))
        service_s = _LONG_SERVICE * times.total_s if times else 0.0
        allowed_s = level.deadline_s - service_s
        if level.first_token_s:
            least_s = level.first_token_s * _MIN_FIRST_TOKEN_SHARE
            left_s = level.first_token_s - (times.first_byte_s if times else 0)
            allowed_s = min(allowed_s, max(least_s, left_s))
        return max(0.0, allowed_s)


class DispatchMix:
    """Which share of a target's dispatches each tier got lately."""

    def __init__(self) -> None:
        """Starts without dispatches."""
        self._shares: dict[
            request_target.Target, collections.defaultdict[int, float]
        ] = {}

    def dispatched(self, target: request_target.Target, tier: int) -> None:
        """Takes note of a dispatch."""
        shares = self._shares.setdefault(target, collections.defaultdict(float))
        for known in shares:
            shares[known] *= 1.0 - _MIX_SMOOTHING
        shares[tier] += _MIX_SMOOTHING

    def taken_by(self, queue: class_queue.ClassQueue) -> float:
        """Returns the share that the queue's tier and higher ones took."""
        tier = queue.request_class.tier
        shares = self._shares.get(queue.target)
        if shares is None:
            return 0.0
        return sum(share for known, share in shares.items() if known <= tier)

    def left_for(self, queue: class_queue.ClassQueue) -> float:
        """Returns the share of the dispatches that higher tiers leave."""
        tier = queue.request_class.tier
        shares = self._shares.get(queue.target)
        if shares is None:
            return 1.0
        higher = sum(share for known, share in shares.items() if known < tier)
        return max(_MIN_SHARE, 1.0 - higher)


def wait_s(ahead: float, free: float, slots: float, slot_s: float) -> float:
    """Returns the expected wait of a request.

    Args:
      ahead: requests that go first.
      free: slots free now.
      slots: slots in use and free that turn over for this queue.
      slot_s: how long a request holds a slot.
    """
    queued = max(0.0, ahead + 1.0 - free)
    return queued * slot_s / max(slots, 1e-3)


def _step(old: float, seen: float) -> float:
    return _SMOOTHING * (seen - old)
