"""Estimates service times and the wait in a queue.

Admission checks with these estimates at arrival whether a request can still
meet its deadline and its first-token target. If not, the request is refused
immediately as not run, with the time after which a retry is useful.
"""

import collections
from typing import Final

import attrs

from figstream import class_queue
from figstream import request_target
from figstream import scheduler_api

# Weight of the newest observation in the smoothed times.
_SMOOTHING: Final = 0.1
# Weight of the newest dispatch; the last fifty dominate the mix.
_MIX_SMOOTHING: Final = 0.02
# A class is assumed to get at least this share of the slots, even if higher
# tiers took all recent dispatches.
_MIN_SLOT_SHARE: Final = 0.02
# A request may always wait for this part of its first-token target.
_MIN_FIRST_TOKEN_SHARE: Final = 0.5
# Assumed service time of a long request, as a multiple of the usual one.
_LONG_SERVICE_RATIO: Final = 2.0


@attrs.define
class _SmoothedTimes:
    """Smoothed times of one class at one target, in seconds."""

    first_byte_s: float
    per_token_s: float
    total_s: float


class ServiceTimes:
    """Smoothed service times by target and class."""

    def __init__(self) -> None:
        """Creates estimates without observations."""
        self._times: dict[
            tuple[request_target.Target, str], _SmoothedTimes
        ] = {}
        self._slot_time_s: dict[request_target.Target, float] = {}

    def observe(
        self,
        target: request_target.Target,
        class_name: str,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Records the times of a complete answer."""
        rest_s = max(0.0, report.total_s - report.first_byte_s)
        observed = _SmoothedTimes(
            report.first_byte_s,
            rest_s / max(1, report.output_tokens),
            report.total_s,
        )
        old = self._times.setdefault((target, class_name), observed)
        old.first_byte_s += _smoothing_step(
            old.first_byte_s, observed.first_byte_s
        )
        old.per_token_s += _smoothing_step(
            old.per_token_s, observed.per_token_s
        )
        old.total_s += _smoothing_step(old.total_s, observed.total_s)
        slot_time_s = self._slot_time_s.setdefault(target, report.total_s)
        self._slot_time_s[target] = slot_time_s + _smoothing_step(
            slot_time_s, report.total_s
        )

    def slot_time_s(self, target: request_target.Target) -> float:
        """Returns how long a request occupies a slot, 0 if unknown."""
        return self._slot_time_s.get(target, 0.0)

    def first_byte_s(
        self, target: request_target.Target, class_name: str
    ) -> float:
        """Returns the time from dispatch to the first byte, 0 if unknown."""
        times = self._times.get((target, class_name))
        return times.first_byte_s if times else 0.0

    def total_s(
        self,
        target: request_target.Target,
        class_name: str,
        output_tokens: float,
    ) -> float:
        """Returns the time from dispatch to the answer's end, 0 if unknown."""
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
        service_s = _LONG_SERVICE_RATIO * times.total_s if times else 0.0
        allowed_s = level.deadline_s - service_s
        if level.first_token_s:
            least_s = level.first_token_s * _MIN_FIRST_TOKEN_SHARE
            left_s = level.first_token_s - (times.first_byte_s if times else 0)
            allowed_s = min(allowed_s, max(least_s, left_s))
        return max(0.0, allowed_s)


class DispatchMix:
    """The share of each tier in the recent dispatches of a target."""

    def __init__(self) -> None:
        """Creates a mix without dispatches."""
        self._shares: dict[
            request_target.Target, collections.defaultdict[int, float]
        ] = {}

    def dispatched(self, target: request_target.Target, tier: int) -> None:
        """Records a dispatch."""
        shares = self._shares.setdefault(target, collections.defaultdict(float))
        for known in shares:
            shares[known] *= 1.0 - _MIX_SMOOTHING
        shares[tier] += _MIX_SMOOTHING

    def share_taken_by(self, queue: class_queue.ClassQueue) -> float:
        """Returns the dispatch share of the queue's tier and higher tiers."""
        tier = queue.request_class.tier
        shares = self._shares.get(queue.target)
        if shares is None:
            return 0.0
        return sum(share for known, share in shares.items() if known <= tier)

    def share_left_for(self, queue: class_queue.ClassQueue) -> float:
        """Returns the dispatch share left over by higher tiers."""
        tier = queue.request_class.tier
        shares = self._shares.get(queue.target)
        if shares is None:
            return 1.0
        higher = sum(share for known, share in shares.items() if known < tier)
        return max(_MIN_SLOT_SHARE, 1.0 - higher)


def wait_s(
    ahead: float, free: float, slots: float, slot_time_s: float
) -> float:
    """Returns the expected wait of a request.

    Args:
      ahead: number of requests that are served first.
      free: number of slots that are free now.
      slots: number of used and free slots that serve this queue.
      slot_time_s: how long a request occupies a slot, in seconds.
    """
    queued = max(0.0, ahead + 1.0 - free)
    return queued * slot_time_s / max(slots, 1e-3)


def _smoothing_step(old: float, observed: float) -> float:
    return _SMOOTHING * (observed - old)
