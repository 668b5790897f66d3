"""Tells whether this daemon is the one that does a task for all of them.

No lease is needed where a second daemon that does the task for a moment, while
views of the membership differ, costs little.
"""

from collections.abc import Callable

from figstream import membership_api


def make_is_first(
    members: membership_api.Members, task: str
) -> Callable[[], bool]:
    """Returns a function that tells whether this daemon does a task.

    Args:
      members: the daemons.
      task: name of the task, which is part of the order of the daemons.
    """

    def is_first() -> bool:
        ranked = members.ranked(task)
        return bool(ranked) and ranked[0].name == members.this().name

    return is_first
