"""Records which objects were removed, for daemons that are some changes behind.

A list of all objects shows what it lacks but not what came and went since the
state before. Daemons whose state is older than that one lose nothing by it;
those in between must read a list themselves.
"""

import collections
from collections.abc import Iterable
from typing import Final

# Removals stored for the polls of peers; several times the number that a
# rolling restart of all backend servers causes during one poll.
_MAX_REMOVALS: Final = 1_024
# Lists that may follow each other during one poll.
_MAX_GAPS: Final = 16


class RemovalRecord:
    """Removals of one kind by position."""

    def __init__(self) -> None:
        """Initializes without removals."""
        self._removals: collections.deque[tuple[int, str]] = collections.deque()
        # Positions between which changes were not seen.
        self._gaps: collections.deque[tuple[int, int]] = collections.deque()
        # Nothing is known of removals up to this position.
        self._complete_from = 0

    def add(self, names: Iterable[str], position: int) -> None:
        """Records names removed up to a position."""
        for name in names:
            self._removals.append((position, name))
        while len(self._removals) > _MAX_REMOVALS:
            self._complete_from = self._removals.popleft()[0]

    def add_gap(self, since: int, until: int) -> None:
        """Records that nothing between two positions was seen."""
        self._gaps.append((since, until))
        while len(self._gaps) > _MAX_GAPS:
            dropped = self._gaps.popleft()[1]
            self._complete_from = max(self._complete_from, dropped)

    def reset(self, position: int) -> None:
        """Forgets everything up to a position."""
        self._complete_from = position
        self._removals.clear()
        self._gaps.clear()

    def since(self, position: int) -> tuple[str, ...] | None:
        """Returns the names removed after a position, None if unknown."""
        unseen = any(begin < position < end for begin, end in self._gaps)
        if unseen or position < self._complete_from:
            return None
        return tuple(name for at, name in self._removals if at > position)
