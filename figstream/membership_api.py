"""The interface to the table of live daemons."""

from collections.abc import Sequence
from typing import Protocol

import attrs
import grpc


@attrs.frozen
class Member:
    """A daemon as its peers know it.

    Attributes:
      name: name of its VM.
      zone: its availability zone.
      region: its region.
      address: IP number and peer port, such as 10.0.0.4:8081.
      start_number: tells two runs of the same VM apart.
      generation: generation of the configuration it has in force.
      leaving: whether it is shutting down.
    """

    name: str
    zone: str
    region: str
    address: str
    start_number: int
    generation: int = 0
    leaving: bool = False


class Members(Protocol):
    """The live daemons, this one included."""

    def this(self) -> Member:
        """Returns this daemon."""

    def live(self) -> Sequence[Member]:
        """Returns the live daemons that are not leaving, sorted by name."""

    def ranked(self, role: str, zone: str = "") -> Sequence[Member]:
        """Returns live daemons by rendezvous hash, the first owner first."""

    def channel(self, member: Member) -> grpc.aio.Channel:
        """Returns the open channel to a member."""
