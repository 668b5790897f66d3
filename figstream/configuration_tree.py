"""The trees along which a zone's daemons pass the configuration on.

Two watchers are the roots of two trees over the same daemons. The second
orders them backwards, so that a daemon with children in one tree is a leaf
in the other: a single dead daemon cuts nobody off from both.
"""

from collections.abc import Sequence
from typing import Final

from figstream import membership_api

# Daemons; one may be down.
WATCHERS_PER_ZONE: Final = 2
# Four levels reach 340 daemons.
FAN_OUT: Final = 4
ROLE: Final = "configuration"


def watchers(
    members: membership_api.Members, zone: str
) -> Sequence[membership_api.Member]:
    """Returns the daemons of a zone that watch the platform."""
    return members.ranked(ROLE, zone)[:WATCHERS_PER_ZONE]


def children(
    members: membership_api.Members, tree_root: str, *, backwards: bool
) -> Sequence[membership_api.Member]:
    """Returns the daemons that this one passes announcements on to."""
    this = members.this()
    ranked = members.ranked(ROLE, this.zone)
    others = [item for item in ranked if item.name != tree_root]
    root = [item for item in ranked if item.name == tree_root]
    order = [*root, *(reversed(others) if backwards else others)]
    names = [item.name for item in order]
    if not root or this.name not in names:
        return ()
    first = names.index(this.name) * FAN_OUT + 1
    return order[first : first + FAN_OUT]
