"""Creates and connects the components of a daemon that process requests.

They range from the ASGI application for callers to the connections to backend
servers.
"""

import attrs

from figstream import authentication
from figstream import backend_client
from figstream import backend_dialect
from figstream import body_memory
from figstream import caller_app
from figstream import claims_api
from figstream import crash_parts
from figstream import daemon_context
from figstream import dispatch_gate
from figstream import request_attempts
from figstream import request_path
from figstream import request_records
from figstream import retry_policy
from figstream import server_connector
from figstream import server_health
from figstream import stream_software
from figstream import usage_api


@attrs.frozen
class ServingParts:
    """The components of a daemon that process requests.

    Attributes:
      gate: holds requests until the scheduler dispatches them.
      health: tracks the health of backend servers and quarantines them.
      backends: sends requests to backend servers.
      app: the ASGI application for callers.
    """

    gate: dispatch_gate.DispatchGate
    health: server_health.ServerHealth
    backends: backend_client.BackendClient
    app: caller_app.CallerApp


def make_serving_parts(
    context: daemon_context.DaemonContext,
    claims: claims_api.ClaimJournal,
    crashes: crash_parts.CrashParts,
    usage: usage_api.UsageLedger,
) -> ServingParts:
    """Creates the components without starting any of them."""
    clock = context.clock
    gate = dispatch_gate.DispatchGate(context.scheduler, clock)
    health = server_health.ServerHealth(
        context.scheduler,
        context.holder,
        crashes.requests,
        clock,
        context.metrics,
    )
    backends = backend_client.BackendClient(
        backend_dialect.EngineDialect(),
        clock,
        health.on_load,
        server_connector.DirectConnector(),
    )
    authenticator = authentication.Authenticator(
        context.holder, context.options.key_trust_s
    )
    records = request_records.RequestRecords(
        clock, context.metrics, context.decisions
    )
    services = request_attempts.RequestServices(
        clock,
        authenticator,
        gate,
        backends,
        health,
        retry_policy.make_retry_policy(),
        claims,
        crashes.requests,
        crashes.prompts,
        usage,
        records,
        stream_software.AnyVersion(),
    )
    app = caller_app.CallerApp(
        context.options,
        clock,
        context.holder,
        authenticator,
        request_path.RequestPath(services),
        records,
        body_memory.BodyMemory(backends.buffers, context.metrics),
    )
    return ServingParts(gate, health, backends, app)
