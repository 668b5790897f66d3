"""Builds the roles of a daemon that account for usage.

They count consumption, transfer the counts to the sealing daemon, and seal
and report usage windows in the daemon that holds the lease.
"""

from collections.abc import Sequence
from typing import Final

import attrs

from figstream import daemon_context
from figstream import lease
from figstream import membership_api
from figstream import notices as notices_lib
from figstream import usage_delta
from figstream import usage_handover
from figstream import usage_ledger
from figstream import usage_sealing

LEASE_NAME: Final = "usage"


# Roles whose work another daemon takes over. They hand over early.
EARLY_HANDOVER_ROLES: Final = (usage_sealing.UsageSealing, lease.HeldLease)


@attrs.frozen
class UsageParts:
    """The ledger and the roles that account for usage.

    Attributes:
      ledger: counts the consumption of requests that this daemon answered.
      handover: transfers the counts to the sealing daemon.
      sealing: seals and reports windows while this daemon holds the lease.
      held_lease: the lease that permits sealing and reporting.
    """

    ledger: usage_ledger.Ledger
    handover: usage_handover.UsageHandover
    sealing: usage_sealing.UsageSealing
    held_lease: lease.HeldLease

    @property
    def roles(self) -> Sequence[daemon_context.Role]:
        """Returns the roles, in the order in which they hand over."""
        return (self.handover, self.sealing, self.held_lease)


def make_usage_parts(
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
    notices: notices_lib.Notices,
) -> UsageParts:
    """Creates the ledger and the roles that account for usage."""
    ledger = usage_ledger.make_ledger(
        usage_delta.RunId(context.options.name, context.start_number),
        context.clock,
        context.metrics,
        context.options.window_s,
    )
    held_lease = lease.make_lease(LEASE_NAME, "", context, members)
    sealing = usage_sealing.make_usage_sealing(context, held_lease)
    handover = usage_handover.make_usage_handover(
        context, ledger, sealing, members, notices
    )
    return UsageParts(ledger, handover, sealing, held_lease)
