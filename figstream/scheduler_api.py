"""The interface between the request path and the scheduler.

The request path offers each valid request. The scheduler decides when and to
which backend server the request is dispatched, or refuses the request. The
scheduler does no input or output and takes the time as an argument.
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

# Default limit for routes without a limit of their own.
ATTEMPT_LIMIT: Final = 4


@attrs.define(eq=False)
class PendingRequest:
    """A request in the form the scheduler needs; times are clock seconds.

    Attributes:
      request_id: unique id.
      customer: name of the customer, "" on open routes.
      request_class: the request class.
      model: the model, or "" for plain services.
      service: the plain service, or "" for models.
      adapter: the requested adapter, or "".
      prompt_tokens: estimated number of prompt tokens.
      max_output_tokens: upper bound given by the caller, 0 for none.
      body_bytes: size of the body.
      arrived: time of arrival.
      deadline: time by which the answer must be complete.
      prefix: hash of the prompt prefix, for prefix affinity.
      shared_tokens: tokens of the prompt prefix, 0 if unknown.
      first_block: hash of the first prefix block, 0 if unknown.
      first_block_tokens: tokens of the first prefix block.
      fingerprint: hash of the complete request, for crash blame.
      alone: whether the request must run without others on its server.
      resumable: whether the engine can resume an interrupted stream.
      idempotent: whether the request may be repeated safely.
      tried: names of the servers at which an attempt failed.
      only_server: the only server that can resume the stream, or "".
      software: the only software version of backend servers at which the
        stream may run, None for any.
      homes: regions of the servers that may run the request, None for all.
      attempt: number of attempts made so far.
      attempts_not_run: number of attempts that certainly did not run.
      attempts_unsent: number of attempts that reached no server.
      attempt_limit: largest number of attempts.
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
    first_block: int = 0
    first_block_tokens: int = 0
    fingerprint: int = 0
    alone: bool = False
    resumable: bool = False
    idempotent: bool = True
    tried: set[str] = attrs.field(factory=set)
    only_server: str = ""
    software: str | None = None
    homes: frozenset[str] | None = None
    attempt: int = 0
    attempts_not_run: int = 0
    attempts_unsent: int = 0
    attempt_limit: int = ATTEMPT_LIMIT


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatched:
    """The decision to send a request to a backend server now.

    Attributes:
      request: the request.
      server: the chosen backend server.
      reason: the reason for the choice, as one word.
      inputs: the inputs of the choice, as key=value pairs for the log.
      prompt_source: a server from which the chosen server can copy its
        prefill of the prompt, if any.
    """

    request: PendingRequest
    server: backend_server.BackendServer
    reason: str
    inputs: str = ""
    prompt_source: backend_server.BackendServer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Dropped:
    """The decision to refuse a waiting request."""

    request: PendingRequest
    refusal: errors.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """The decision to cancel a running request for a higher tier."""

    request: PendingRequest
    server: backend_server.BackendServer


Decision = Dispatched | Dropped | Preempt


class AttemptResult(enum.Enum):
    """The result of an attempt at a backend server."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


@attrs.frozen
class AttemptReport:
    """The outcome and measurements of an attempt; durations in seconds.

    Attributes:
      result: the result of the attempt.
      output_tokens: number of generated tokens.
      prompt_tokens: prompt tokens counted by the engine, 0 if unknown.
      first_byte_s: from dispatch to the first byte, 0 without any byte.
      total_s: from dispatch to the end of the attempt.
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
      running: number of running requests.
      waiting: number of requests that wait at the server.
      measured_at: time of the measurement, in clock seconds of the
        receiving daemon.
    """

    server: str
    running: int
    waiting: int
    measured_at: float


@attrs.frozen
class ClassDemand:
    """The numbers of requests of one class for one model in a daemon.

    Attributes:
      model: the model.
      request_class: the class.
      running: number of requests that run at backend servers.
      waiting: number of requests that wait in the daemon.
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
        """Applies a new configuration."""

    def set_live_daemons(
        self, in_zone: int, in_fleet: int, rank: int = 0
    ) -> None:
        """Applies the numbers of daemons that share servers and limits.

        Args:
          in_zone: number of daemons in the availability zone.
          in_fleet: number of daemons in all zones.
          rank: place of this daemon among all by name, from 0.
        """

    def set_leaving(self, servers: frozenset[str]) -> None:
        """Excludes the servers that the platform is reclaiming."""

    def pause_server(self, server: str, until: float) -> None:
        """Sends no requests to a server, at its own request, until a time."""

    def limit_server(
        self, server: str, per_s: float | None, epoch: float
    ) -> None:
        """Shares the requests that a server takes with the other daemons.

        Args:
          server: name of the server.
          per_s: requests a second over all daemons, None for no limit.
          epoch: clock time of the Unix epoch.
        """

    def set_cold(
        self, server: str, per_s: float, epoch: float, now: float, until: float
    ) -> None:
        """Shares the few requests that a cold server bears.

        Args:
          server: name of the server.
          per_s: requests a second over all daemons.
          epoch: clock time of the Unix epoch.
          now: the time in seconds.
          until: the time at which the server is warm.
        """

    def set_refusal_limit(
        self,
        service: str,
        refusals_per_s: float | None,
        sent_at: float,
        epoch: float,
    ) -> bool:
        """Applies the refusals above which servers crash.

        Args:
          service: the service of the servers.
          refusals_per_s: refusals a second above which each of them crashes,
            None for no limit.
          sent_at: clock time of the request whose answer says so.
          epoch: clock time of the Unix epoch.

        Returns:
          Whether this changed.
        """

    def offer(
        self, request: PendingRequest, now: float
    ) -> errors.Refusal | None:
        """Queues a request, or returns its refusal."""

    def poll(self, now: float) -> Iterable[Decision]:
        """Returns the decisions that are due."""

    def next_poll_at(self, now: float) -> float:
        """Returns the time of the next poll if no other event causes one."""

    def withdraw(self, request: PendingRequest, now: float) -> None:
        """Removes a queued request whose caller has disconnected."""

    def finish(
        self,
        request: PendingRequest,
        server: backend_server.BackendServer,
        report: AttemptReport,
        now: float,
    ) -> None:
        """Records the end of an attempt."""

    def report_load(self, load: ServerLoad) -> None:
        """Records a load report of a backend server."""

    def utilization(self, servers: frozenset[str], now: float) -> float:
        """Returns the ratio of requests at the servers to their slots."""

    def demand(self) -> Iterable[ClassDemand]:
        """Returns the demand for each model by class."""
