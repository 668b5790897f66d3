"""The ASGI application that serves callers of the gateway.

Selects a route by host and path, checks the request and passes it to the
request path. The body is read completely before any answer, so that the
connection stays usable after a refusal. All checks precede queueing, so a
request that fails one has certainly not run.
"""

import attrs

from figstream import asgi
from figstream import authentication
from figstream import body_memory
from figstream import caller_watch
from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import configuration_proof
from figstream import error_details
from figstream import errors
from figstream import gateway_answer
from figstream import gateway_dialect
from figstream import gateway_route
from figstream import homes
from figstream import inbound
from figstream import logs
from figstream import reasons
from figstream import request_path
from figstream import request_records

_R = reasons.RefusalReason
# Refusals that a newer configuration may contradict.
_BY_CONFIGURATION = frozenset(
    {_R.UNKNOWN_ROUTE, _R.MISSING_KEY, _R.UNKNOWN_KEY, _R.WITHDRAWN_KEY}
)


class GatewayApp:
    """Serves callers; `application` is the ASGI entry point.

    Attributes:
      leaving: whether answers ask callers to close their connections.
    """

    def __init__(
        self,
        dialect: gateway_dialect.CallerDialect,
        clock: clock_lib.Clock,
        holder: configuration_holder.ConfigurationHolder,
        authenticator: authentication.Authenticator,
        path: request_path.RequestPath,
        records: request_records.RequestRecords,
        bodies: body_memory.BodyMemory,
        proof: configuration_proof.ConfigurationProof,
    ) -> None:
        """Initializes the application.

        Args:
          dialect: reads the headers of requests, chooses those of answers.
          clock: source of the current time.
          holder: holds the active configuration.
          authenticator: identifies customers by their keys.
          path: carries checked calls to backend servers.
          records: records requests and refusals.
          bodies: memory of the bodies of requests.
          proof: tells on what refusals by the configuration rest.
        """
        self._dialect = dialect
        self._clock = clock
        self._holder = holder
        self._authenticator = authenticator
        self._path = path
        self._records = records
        self._bodies = bodies
        self._proof = proof
        self._in_flight = 0
        self.leaving = False
        self._refusing = False

    def close(self, limit_s: float) -> None:
        """Refuses new requests and has the others answered in time.

        Args:
          limit_s: seconds until the connections are closed.
        """
        self._refusing = True
        self._path.end_requests(limit_s)

    @property
    def ready(self) -> bool:
        """Returns whether the load balancer may send requests."""
        return not self.leaving and self._holder.current.generation > 0

    @property
    def in_flight(self) -> int:
        """Returns the number of requests being served."""
        return self._in_flight

    async def application(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one HTTP request."""
        if scope["type"] != "http":
            return
        self._in_flight += 1
        try:
            with self._bodies.room() as room:
                await self._serve(scope, receive, send, room)
        except asgi.CallerGoneError:
            return
        finally:
            self._in_flight -= 1

    async def _serve(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        send: asgi.Send,
        room: body_memory.BodyRoom,
    ) -> None:
        arrived = self._clock.now()
        head = self._dialect.read(scope)
        caller_id = ""
        if isinstance(head, gateway_dialect.CallerHead):
            caller_id = head.request_id
        answer = gateway_answer.GatewayAnswer(
            send, self._dialect, caller_id, lambda: self.leaving
        )
        declared_bytes = asgi.declared_length(scope)
        call = await self._check(head, receive, arrived, room, declared_bytes)
        if self._refusing:
            # A request on an open connection might not end before the daemon
            # is killed.
            call = errors.Refusal(_R.SHUTTING_DOWN, retry_after_s=0.0)
        if isinstance(call, errors.Refusal):
            self._records.refused_unchecked(
                call, caller_id, "", self._configuration_state()
            )
            await answer.refuse(call)
            return
        try:
            await caller_watch.serve_while_connected(
                self._path, self._records, call, receive, answer
            )
        except asgi.CallerGoneError:
            raise
        except Exception as error:
            logs.error(
                "request_failed",
                request=call.request_id,
                kind=error_details.kind_of(error),
                detail=error_details.describe(error),
            )
            if answer.started:
                raise
            state = reasons.RunState.MAY_HAVE_RUN
            refusal = errors.Refusal(_R.INTERNAL_ERROR, state)
            self._records.refused(call, refusal)
            await answer.refuse(refusal)

    def _configuration_state(self) -> str:
        """Returns which configuration decides, and the age of its proof."""
        holder = self._holder
        return (
            f"generation={holder.current.generation} "
            f"unconfirmed_s={holder.unconfirmed_s:.1f}"
        )

    async def _check(
        self,
        head: gateway_dialect.CallerHead | errors.Refusal,
        receive: asgi.Receive,
        arrived: float,
        room: body_memory.BodyRoom,
        declared_bytes: int,
    ) -> inbound.Call | errors.Refusal:
        limits = self._holder.current.gateway_limits
        try:
            body = await asgi.read_body(
                receive, limits.body_bytes, room, declared_bytes
            )
        except asgi.BodyTooLargeError:
            return errors.Refusal(_R.BODY_TOO_LARGE)
        except asgi.NoRoomError:
            return errors.Refusal(
                _R.BODY_MEMORY_FULL, retry_after_s=body_memory.RETRY_AFTER_S
            )
        if isinstance(head, errors.Refusal):
            return head
        if head.size_bytes > limits.header_bytes:
            return errors.Refusal(_R.HEADERS_TOO_LARGE)
        checked = self._apply_configuration(head, body, arrived)
        if not _is_by_configuration(checked):
            return checked
        proven = await self._proof.renew(arrived)
        # The proof may have brought a newer configuration.
        checked = self._apply_configuration(head, body, arrived)
        if proven or not _is_by_configuration(checked):
            return checked
        return errors.Refusal(
            _R.CONFIGURATION_NOT_CONFIRMED,
            retry_after_s=configuration_proof.RETRY_S,
        )

    def _apply_configuration(
        self, head: gateway_dialect.CallerHead, body: bytes, arrived: float
    ) -> inbound.Call | errors.Refusal:
        """Returns the request as the active configuration has it."""
        configuration = self._holder.current
        if configuration.generation == 0:
            return errors.Refusal(_R.NO_CONFIGURATION, retry_after_s=1.0)
        route = configuration.gateway_table.find(head.host, head.path)
        if route is None:
            return errors.Refusal(_R.UNKNOWN_ROUTE)
        identity = authentication.ANONYMOUS
        if configuration.customers and not route.open:
            identified = self._authenticator.identify(head.key)
            if isinstance(identified, errors.Refusal):
                return identified
            identity = identified
        return self._make_call(head, body, route, identity, arrived)

    def _make_call(
        self,
        head: gateway_dialect.CallerHead,
        body: bytes,
        route: gateway_route.GatewayRoute,
        identity: authentication.Identity,
        arrived: float,
    ) -> inbound.Call:
        request_id, _ = inbound.new_ids(head.request_id)
        wait_s = route.timeout_s
        if head.wait_s is not None:
            wait_s = min(wait_s, head.wait_s)
        request_class = route.request_class
        tier = self._holder.current.gateway_tier(
            identity.customer, request_class.tier
        )
        if tier != request_class.tier:
            request_class = attrs.evolve(
                request_class, name=f"{request_class.name}@{tier}", tier=tier
            )
        return inbound.Call(
            request_id,
            head.request_id,
            inbound.HttpRequest(
                head.method, head.path, head.query, {}, body, head.passed
            ),
            identity,
            request_class,
            arrived,
            arrived + wait_s,
            stream=route.streamed,
            max_output_tokens=head.prompt.max_output_tokens,
            passed=inbound.GatewayCall(
                route,
                route.choose_service(head.resumed_stream or head.request_id),
                head.prompt,
                self._holder.current.generation,
                head.resumed_stream,
                head.resumed_after,
                self._homes(route, identity),
            ),
        )

    def _homes(
        self,
        route: gateway_route.GatewayRoute,
        identity: authentication.Identity,
    ) -> homes.Homes:
        """Returns the regions in which a request may run, None for all."""
        known = self._holder.current.customers_by_name.get(identity.customer)
        regions = known.regions if known else frozenset()
        return homes.common(route.regions, regions)


def _is_by_configuration(checked: inbound.Call | errors.Refusal) -> bool:
    return (
        isinstance(checked, errors.Refusal)
        and checked.reason in _BY_CONFIGURATION
    )
