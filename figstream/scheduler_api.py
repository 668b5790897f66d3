"""The interface between the request path and the scheduler.

The request path offers each checked request, and the scheduler decides when
it goes to which backend server, or that it is refused. The scheduler does no
input or output and takes the time as an argument.
"""

from collections.abc import Iterable
import dataclasses
import enum
from typing import Final
from typing import Protocol

import attrs

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import errors
from figstream import request_class as request_class_lib

# Most servers that one call is sent to where its route sets no limit.
ATTEMPT_LIMIT: Final = 4


@attrs.define(eq=False)
class PendingRequest:
    """A request as the scheduler sees it; times are clock seconds.

    Attributes:
      request_id: unique id.
      customer: name of the customer, "" on open routes.
      request_class: its class.
      model: the model, or "" for plain services.
      service: the plain service, or "" for models.
      adapter: adapter asked for, or "".
      prompt_tokens: estimated number of prompt tokens.
      max_output_tokens: upper bound the caller gave, 0 for none.
      body_bytes: size of the body.
      arrived: when it arrived.
      deadline: when the caller's patience ends.
      prefix: hash of the head of the prompt, for prefix affinity.
      shared_tokens: tokens of that head, 0 if not told.
      first_part: hash of the first part of the prompt, 0 if not told.
      first_part_tokens: tokens of the first part.
      fingerprint: hash of the whole request, for crash blame.
      alone: whether it must run with no other request on its server.
      resumable: whether a broken stream can go on at the engine.
      idempotent: whether it may be repeated.
      tried: names of servers where an attempt failed.
      only_server: the one server that can go on with its stream, or "".
      attempt: number of attempts made so far.
      attempts_not_run: how many of them surely did not run.
      attempts_unsent: how many of them reached no server at all.
      attempt_limit: most attempts that may be made.
    """

    request_id: str
    customer: str
    request_class: request_class_lib.RequestClass
    arrived: float
    deadline: float
    model: str = ""
    service: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    body_bytes: int = 0
    prefix: int = 0
    shared_tokens: int = 0
    first_part: int = 0
    first_part_tokens: int = 0
    fingerprint: int = 0
    alone: bool = False
    resumable: bool = False
    idempotent: bool = True
    tried: set[str] = attrs.field(factory=set)
    only_server: str = ""
    attempt: int = 0
    attempts_not_run: int = 0
    attempts_unsent: int = 0
    attempt_limit: int = ATTEMPT_LIMIT


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """The request goes to this backend server now.

    Attributes:
      request: the request.
      server: where it goes.
      reason: a word that says why.
      inputs: what decided it, as key=value pairs for the log.
      prompt_source: a server from which this one can copy what it has read
        of the prompt.
    """

    request: PendingRequest
    server: backend_server.BackendServer
    reason: str
    inputs: str = ""
    prompt_source: backend_server.BackendServer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """The waiting request is refused."""

    request: PendingRequest
    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """The running request must be cancelled for a higher tier."""

    request: PendingRequest
    server: backend_server.BackendServer


Decision = Dispatched | Dropped | Preempt


class AttemptResult(enum.Enum):
    """How an attempt at a backend server ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


@attrs.frozen
class AttemptReport:
    """What an attempt showed; durations in seconds.

    Attributes:
      result: how it ended.
      output_tokens: tokens generated.
      prompt_tokens: prompt tokens as the engine counted them, 0 if unknown.
      first_byte_s: from dispatch to the first byte, 0 if none came.
      total_s: from dispatch to the end.
    """

    result: AttemptResult
    output_tokens: int = 0
    prompt_tokens: int = 0
    first_byte_s: float = 0.0
    total_s: float = 0.0


@attrs.frozen
class ServerLoad:
    """A load report of a backend server.

    Attributes:
      server: name of the backend server.
      running: requests running.
      waiting: requests waiting at the server.
      measured_at: when it was measured, clock seconds of the receiver.
    """

    server: str
    running: int
    waiting: int
    measured_at: float


@attrs.frozen
class ClassDemand:
    """Requests of one class for one model that run or wait in a daemon.

    Attributes:
      model: the model.
      request_class: the class.
      running: requests at backend servers.
      waiting: requests that wait.
    """

    model: str
    request_class: request_class_lib.RequestClass
    running: int
    waiting: int


class Scheduler(Protocol):
    """Decides when and where requests run."""

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes a new configuration into force."""

    def set_live_daemons(self, in_zone: int, in_fleet: int) -> None:
        """Takes note of how many daemons share servers and limits."""

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Takes note of servers that the platform is taking back."""

    def offer(
        self, request: PendingRequest, now: float
    ) -> errors.Refusal | None:
        """Queues a request, or refuses it at once."""

    def poll(self, now: float) -> Iterable[Decision]:
        """Returns the decisions that are due."""

    def next_poll_at(self, now: float) -> float:
        """Returns when to poll next if nothing else happens."""

    def withdraw(self, request: PendingRequest, now: float) -> None:
        """Removes a queued request whose caller went away."""

    def finish(
        self,
        request: PendingRequest,
        server: backend_server.BackendServer,
        report: AttemptReport,
        now: float,
    ) -> None:
        """Takes note that an attempt ended."""

    def report_load(self, load: ServerLoad) -> None:
        """Takes note of a load report."""

    def taken(self, servers: frozenset[str], now: float) -> float:
        """Returns the requests at servers as a part of their slots."""

    def demand(self) -> Iterable[ClassDemand]:
        """Returns the demand for each model by class."""
