"""Builds the components of a gateway daemon that process requests.

They reach from the application that serves callers, through the scheduler's
gate, to the client for backend servers.
"""

import random
from typing import Final

import attrs

from figstream import api_key
from figstream import authentication
from figstream import backend_client
from figstream import backend_dialect
from figstream import body_memory
from figstream import claims_api
from figstream import configuration_proof
from figstream import crash_parts
from figstream import daemon_context
from figstream import dispatch_gate
from figstream import errors
from figstream import gateway_app
from figstream import gateway_dialect
from figstream import reasons
from figstream import request_attempts
from figstream import request_path
from figstream import request_records
from figstream import retry_budget
from figstream import retry_policy
from figstream import server_announcements
from figstream import server_connector
from figstream import server_health_passive
from figstream import stream_software
from figstream import usage_api

# Keys must stay valid while the daemon is partitioned from the store, so the
# limit is a full day.
_KEY_TRUST_S: Final = 86_400.0
_PATH_RULES: Final = request_attempts.PathRules(
    terminator=b"",
    read_interval_s=0.0,
    resumes_anywhere=True,
    counts_started_requests=True,
)


class NoClaims:
    """Implements the claim API without storing claims.

    Gateway callers give each attempt an id of its own, so retried requests
    can't be recognized by their id.
    """

    async def claim(
        self, customer: str, key: str, fingerprint: int
    ) -> claims_api.ClaimOutcome:
        """Refuses, since no results are stored for retried requests."""
        return errors.Refusal(reasons.RefusalReason.CLAIM_UNAVAILABLE)

    async def complete(
        self, claim: claims_api.Claimed, result: claims_api.StoredResult
    ) -> bool:
        """Stores nothing; returns False."""
        return False

    async def release(self, claim: claims_api.Claimed) -> bool:
        """Releases nothing; returns False."""
        return False


@attrs.frozen
class GatewayServing:
    """Components of a gateway daemon that process requests.

    Attributes:
      gate: where requests wait for the scheduler.
      backends: the client for backend servers.
      app: the ASGI application for callers.
      announcements: applies what backend servers say about themselves.
      streams: the software versions of streams.
    """

    gate: dispatch_gate.DispatchGate
    backends: backend_client.BackendClient
    app: gateway_app.GatewayApp
    announcements: server_announcements.ServerAnnouncements
    streams: stream_software.StreamSoftware


def make_gateway_serving(
    context: daemon_context.DaemonContext,
    callers: gateway_dialect.CallerDialect,
    servers: backend_dialect.BackendDialect,
    budget: retry_budget.RetryBudget,
    crashes: crash_parts.CrashParts,
    usage: usage_api.UsageLedger,
    connector: server_connector.ServerConnector,
    proof: configuration_proof.ConfigurationProof,
    cold_excess: float = 1.0,
) -> GatewayServing:
    """Creates the components that process requests without starting them.

    Refusals by the active configuration rest on `proof`. A single second may
    hold `cold_excess` times the requests that a server bears in a second while
    it warms up.
    """
    clock, metrics = context.clock, context.metrics
    gate = dispatch_gate.DispatchGate(context.scheduler, clock)
    health = server_health_passive.PassiveHealth(
        context.scheduler, crashes.requests, clock, metrics
    )
    announcements = server_announcements.make_server_announcements(
        context.scheduler, context.holder, clock, metrics, cold_excess
    )
    backends = backend_client.BackendClient(
        servers, clock, health.on_load, connector, announcements.receive
    )
    authenticator = authentication.Authenticator(
        context.holder, _KEY_TRUST_S, api_key.split_external_key
    )
    records = request_records.RequestRecords(clock, metrics, context.decisions)
    streams = stream_software.StreamSoftware(clock, metrics)
    services = request_attempts.RequestServices(
        clock,
        authenticator,
        gate,
        backends,
        health,
        retry_policy.RetryPolicy(random.Random(), budget),
        NoClaims(),
        crashes.requests,
        crashes.prompts,
        usage,
        records,
        streams,
        _PATH_RULES,
    )
    app = gateway_app.GatewayApp(
        callers,
        clock,
        context.holder,
        authenticator,
        request_path.RequestPath(services),
        records,
        body_memory.BodyMemory(backends.buffers, metrics),
        proof,
    )
    return GatewayServing(gate, backends, app, announcements, streams)
