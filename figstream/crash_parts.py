"""Assembles what a daemon needs to blame and refuse what crashes servers.

The request path uses the two tables; the roles share with other daemons what
the tables find.
"""

from collections.abc import Sequence

import attrs

from figstream import blame
from figstream import blame_api
from figstream import blame_spread
from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import first_member
from figstream import membership
from figstream import prompt_crashes
from figstream import request_crashes


@attrs.frozen
class CrashParts:
    """The blame tables of a daemon.

    Attributes:
      requests: blames whole requests.
      prompts: blames parts of prompts.
      roles: background roles that exchange findings with other daemons.
    """

    requests: blame_api.BlameTable
    prompts: blame_api.PromptTable
    roles: Sequence[daemon_context.Role]


def make_isolating_parts(
    members: membership.Membership, clock: clock_lib.Clock
) -> CrashParts:
    """Creates the tables of a daemon that runs suspects alone."""
    requests = blame.make_crash_blame()
    prompts = _make_prompts(members)
    roles = blame_spread.make_spread_roles(
        {"blame": requests, "prompt_crashes": prompts.evidence},
        members.notices,
        clock,
    )
    return CrashParts(requests, prompts, roles)


def make_counting_parts(
    members: membership.Membership, clock: clock_lib.Clock
) -> CrashParts:
    """Creates the tables of a gateway, which runs suspects beside others."""
    requests = request_crashes.make_request_crashes()
    prompts = _make_prompts(members)
    roles = blame_spread.make_spread_roles(
        {
            "request_crashes": requests.evidence,
            "prompt_crashes": prompts.evidence,
        },
        members.notices,
        clock,
    )
    return CrashParts(requests, prompts, roles)


def _make_prompts(
    members: membership.Membership,
) -> prompt_crashes.PromptCrashes:
    # Each trial may cost a backend server, so one daemon makes them all.
    makes_trials = first_member.make_is_first(members, "prompt_trials")
    return prompt_crashes.make_prompt_crashes(makes_trials)
