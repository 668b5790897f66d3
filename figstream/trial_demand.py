"""Counts the refused prompts whose trial would tell parts of prompts apart.

When a part of prompts is refused, another part, its rival, may be the one at
fault instead. A prompt without some of the likeliest rivals tells them apart.
Of these prompts the table in `prompt_crashes` tries those that most callers
send: a sound part ran in all the crashes beside the bad one only if there are
more requests with it.
"""

import collections
from typing import Final

import attrs

from figstream import bounded_records

# Number of parts; one takes 3 KB with the most kinds of prompts.
_PART_LIMIT: Final = 256
# Number of kinds of prompts for each part; beyond it the rarer half is dropped.
_KIND_LIMIT: Final = 32


@attrs.frozen
class _Demand:
    """The prompts refused for one part.

    Attributes:
      rivals: the likeliest rivals of the part.
      counts: number of prompts by the rivals that they lack, counted anew when
        the likeliest rivals change.
    """

    rivals: frozenset[int]
    counts: collections.Counter[frozenset[int]] = attrs.field(
        factory=collections.Counter
    )


class TrialDemand:
    """The prompts that wait for a trial at one daemon."""

    def __init__(self) -> None:
        """Initializes without prompts."""
        self._demands: dict[int, _Demand] = {}

    def add(
        self, part: int, rivals: frozenset[int], lacking: frozenset[int]
    ) -> bool:
        """Counts a prompt; returns whether no other kind was sent more often.

        Args:
          part: the part for which the prompt is refused.
          rivals: the likeliest rivals of the part.
          lacking: those that the prompt lacks, which is its kind.
        """
        demand = self._demands.get(part)
        if demand is None or demand.rivals != rivals:
            demand = _Demand(rivals)
            bounded_records.put(self._demands, part, demand, _PART_LIMIT)
        counts = demand.counts
        counts[lacking] += 1
        if len(counts) > _KIND_LIMIT:
            for kind, _ in counts.most_common()[_KIND_LIMIT // 2 :]:
                del counts[kind]
        return counts[lacking] >= max(counts.values())
