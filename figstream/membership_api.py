"""Defines the interface through which roles look up the live daemons."""

from collections.abc import Sequence
from typing import Protocol

import attrs
import grpc


@attrs.frozen
class Member:
    """A daemon as its peers know it.

    Attributes:
      name: name of the VM.
      zone: availability zone of the VM.
      region: region of the VM.
      address: IP address and peer port, such as 10.0.0.4:8081.
      start_number: distinguishes runs of the daemon on the same VM.
      generation: generation of the active configuration.
      leaving: whether the daemon is shutting down.
      plan_version: version of the plan of software versions that it uses, 0
        if it has not told.
    """

    name: str
    zone: str
    region: str
    address: str
    start_number: int
    generation: int = 0
    leaving: bool = False
    plan_version: int = 0


@attrs.frozen
class Contact:
    """How far this daemon is in contact with the others.

    Attributes:
      unheard_since: since when a daemon that may still serve callers has not
        been heard, in clock seconds, None if all are heard.
      detection_s: seconds within which a daemon that is no longer heard is
        noticed.
      oldest_plan: lowest version of the plan of software versions that a
        daemon may still use, 0 if none has told.
    """

    unheard_since: float | None = None
    detection_s: float = 0.0
    oldest_plan: int = 0


class Members(Protocol):
    """The live daemons, including this daemon."""

    def this(self) -> Member:
        """Returns this daemon."""

    def live(self) -> Sequence[Member]:
        """Returns the live daemons that are not leaving, sorted by name."""

    def ranked(self, role: str, zone: str = "") -> Sequence[Member]:
        """Returns live daemons in rendezvous order; the first is the owner."""

    def channel(self, member: Member) -> grpc.aio.Channel:
        """Returns the open channel to a member."""
