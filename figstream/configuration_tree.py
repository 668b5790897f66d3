"""Computes the trees along which the daemons of a zone forward announcements.

The two watchers of a zone are the roots of two trees over the same daemons.
The second tree orders the daemons backwards, so that a daemon with children
in one tree is a leaf in the other. A single failed daemon therefore
disconnects no other daemon from both trees.
"""

from collections.abc import Sequence
from typing import Final

from figstream import membership_api

# One of the watchers may be down.
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
    """Returns the children of this daemon in a tree.

    Args:
      members: the live daemons.
      tree_root: name of the daemon at the root of the tree.
      backwards: whether the tree orders the other daemons backwards.
    """
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
