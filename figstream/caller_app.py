"""The ASGI application that receives the requests of callers.

Serves the daemon's own pages, checks and authenticates all other requests and
passes them to the request path.
"""

from collections.abc import Mapping
from typing import Final

import orjson

from figstream import asgi
from figstream import authentication
from figstream import body_memory
from figstream import caller_answer
from figstream import caller_watch
from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import error_details
from figstream import errors
from figstream import inbound
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import reasons
from figstream import request_path
from figstream import request_records
from figstream import route as route_lib

_HEALTH_PATH: Final = "/healthz"
_READY_PATH: Final = "/readyz"
_METRICS_PATH: Final = "/metrics"
_MODELS_PATH: Final = "/v1/models"
_PLAIN_TEXT: Final = b"text/plain; charset=utf-8"
_R = reasons.RefusalReason

CheckResult = inbound.Call | errors.Refusal


class CallerApp:
    """Serves the requests of callers; `application` is the entry point."""

    def __init__(
        self,
        options: options_lib.Options,
        clock: clock_lib.Clock,
        holder: configuration_holder.ConfigurationHolder,
        authenticator: authentication.Authenticator,
        path: request_path.RequestPath,
        records: request_records.RequestRecords,
        bodies: body_memory.BodyMemory,
    ) -> None:
        """Initializes the application for a daemon's services."""
        self._options = options
        self._clock = clock
        self._holder = holder
        self._authenticator = authenticator
        self._path = path
        self._records = records
        self._bodies = bodies
        self.leaving = False

    @property
    def ready(self) -> bool:
        """Returns whether the load balancer may send requests."""
        return not self.leaving and self._holder.current.generation > 0

    def close(self, limit_s: float) -> None:
        """Has all requests answered before their connections are closed.

        Args:
          limit_s: seconds until then.
        """
        self._path.end_requests(limit_s)

    async def application(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one HTTP request."""
        if scope["type"] != "http":
            return
        headers = asgi.headers_of(scope)
        request_id, caller_id = inbound.new_ids(
            headers.get(inbound.ID_HEADER, "")
        )
        answer = caller_answer.CallerAnswer(send, caller_id, request_id)
        try:
            if not await self._serve_own_page(scope["path"], answer):
                with self._bodies.room() as room:
                    await self._serve(scope, headers, receive, answer, room)
        except asgi.CallerGoneError:
            pass
        except Exception as error:
            logs.error(
                "request_failed",
                request=request_id,
                kind=error_details.kind_of(error),
                detail=error_details.describe(error),
            )
            if answer.started:
                raise
            refusal = errors.Refusal(
                _R.INTERNAL_ERROR, reasons.RunState.MAY_HAVE_RUN
            )
            self._records.refused_unchecked(refusal, answer.request_id, "")
            await answer.refuse(refusal)

    async def _serve_own_page(
        self, path: str, answer: caller_answer.CallerAnswer
    ) -> bool:
        if path == _HEALTH_PATH:
            await answer.send_page(200, _PLAIN_TEXT, b"alive\n")
        elif path == _READY_PATH and self.ready:
            await answer.send_page(200, _PLAIN_TEXT, b"ready\n")
        elif path == _READY_PATH:
            await answer.send_page(503, _PLAIN_TEXT, b"not ready\n")
        elif path == _METRICS_PATH:
            await answer.send_page(200, _PLAIN_TEXT, metrics_lib.exposition())
        else:
            return False
        return True

    async def _serve(
        self,
        scope: asgi.Scope,
        headers: Mapping[str, str],
        receive: asgi.Receive,
        answer: caller_answer.CallerAnswer,
        room: body_memory.BodyRoom,
    ) -> None:
        arrival = inbound.Arrival(
            self._clock.now(),
            self._options.max_patience_s,
            answer.request_id,
            answer.caller_id,
        )
        identity, checked = await self._check(
            scope, headers, receive, answer, arrival, room
        )
        if isinstance(checked, errors.Refusal):
            self._records.refused_unchecked(
                checked, answer.request_id, identity.customer
            )
            await answer.refuse(checked)
        elif checked is not None:
            await self._serve_while_connected(checked, receive, answer)

    async def _serve_while_connected(
        self,
        call: inbound.Call,
        receive: asgi.Receive,
        answer: caller_answer.CallerAnswer,
    ) -> None:
        await caller_watch.serve_while_connected(
            self._path, self._records, call, receive, answer
        )

    async def _check(
        self,
        scope: asgi.Scope,
        headers: Mapping[str, str],
        receive: asgi.Receive,
        answer: caller_answer.CallerAnswer,
        arrival: inbound.Arrival,
        room: body_memory.BodyRoom,
    ) -> tuple[authentication.Identity, CheckResult | None]:
        anonymous = authentication.ANONYMOUS
        configuration = self._holder.current
        if refusal := self._check_headers(scope, configuration):
            return anonymous, refusal
        path = scope["path"]
        route = configuration.route_for(path)
        identity = self._identify(route, headers.get("authorization", ""))
        if isinstance(identity, errors.Refusal):
            return anonymous, identity
        if path == _MODELS_PATH:
            await self._list_models(identity, configuration, answer)
            return identity, None
        try:
            body = await asgi.read_body(
                receive,
                self._options.body_limit_bytes,
                room,
                asgi.declared_length(scope),
            )
        except asgi.BodyTooLargeError:
            return identity, errors.Refusal(_R.BODY_TOO_LARGE)
        except asgi.NoRoomError:
            return identity, errors.Refusal(
                _R.BODY_MEMORY_FULL, retry_after_s=body_memory.RETRY_AFTER_S
            )
        http = inbound.HttpRequest(
            scope["method"],
            path,
            scope["query_string"].decode("latin-1"),
            headers,
            body,
        )
        return identity, _check_call(
            http, identity, route, configuration, arrival
        )

    def _check_headers(
        self, scope: asgi.Scope, configuration: configuration_lib.Configuration
    ) -> errors.Refusal | None:
        size = sum(len(name) + len(value) for name, value in scope["headers"])
        if size > self._options.header_limit_bytes:
            return errors.Refusal(_R.HEADERS_TOO_LARGE)
        if configuration.generation == 0:
            return errors.Refusal(_R.NO_CONFIGURATION, retry_after_s=1.0)
        path = scope["path"]
        known = path == _MODELS_PATH or path in inbound.GENERATE_PATHS
        if not known and configuration.route_for(path) is None:
            return errors.Refusal(_R.UNKNOWN_ROUTE)
        return None

    def _identify(
        self, route: route_lib.Route | None, authorization: str
    ) -> authentication.Identity | errors.Refusal:
        if route and route.open:
            return authentication.ANONYMOUS
        identity = self._authenticator.identify(authorization)
        if isinstance(identity, errors.Refusal) or route is None:
            return identity
        if route.customers and identity.customer not in route.customers:
            return errors.Refusal(_R.ROUTE_NOT_ALLOWED)
        return identity

    async def _list_models(
        self,
        identity: authentication.Identity,
        configuration: configuration_lib.Configuration,
        answer: caller_answer.CallerAnswer,
    ) -> None:
        customer = configuration.customers_by_name.get(identity.customer)
        allowed = set(customer.classes) if customer else set()
        names = {
            model
            for server in configuration.servers
            if not server.classes
            or not allowed
            or allowed & set(server.classes)
            for model in server.models
        }
        listed = [{"id": name, "object": "model"} for name in sorted(names)]
        body = orjson.dumps({"object": "list", "data": listed})
        await answer.send_page(200, asgi.JSON, body)


def _check_call(
    http: inbound.HttpRequest,
    identity: authentication.Identity,
    route: route_lib.Route | None,
    configuration: configuration_lib.Configuration,
    arrival: inbound.Arrival,
) -> CheckResult:
    if http.path in inbound.GENERATE_PATHS:
        if http.method != "POST":
            return errors.Refusal(_R.UNKNOWN_ROUTE, detail="use POST")
        return inbound.check_generate(http, identity, configuration, arrival)
    if route is None:
        return errors.Refusal(_R.UNKNOWN_ROUTE)
    return inbound.check_service(http, identity, route, configuration, arrival)
