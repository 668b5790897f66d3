"""Validates a caller's HTTP request and converts it into a `Call`.

Invalid requests are refused here, before they are queued, so that the run
state of such a refusal is always "not run".
"""

from collections.abc import Mapping
import secrets
from typing import Any
from typing import Final

import attrs
import orjson
import xxhash

from figstream import authentication
from figstream import configuration as configuration_lib
from figstream import errors
from figstream import explain
from figstream import gateway_route
from figstream import reasons
from figstream import request_class as request_class_lib
from figstream import route as route_lib
from figstream import scheduler_api

CHAT_PATH: Final = "/v1/chat/completions"
COMPLETION_PATH: Final = "/v1/completions"
GENERATE_PATHS: Final = frozenset({CHAT_PATH, COMPLETION_PATH})
DEADLINE_HEADER: Final = "x-deadline-seconds"
CLASS_HEADER: Final = "x-request-class"
ID_HEADER: Final = "x-request-id"
IDEMPOTENCY_HEADER: Final = "idempotency-key"

# Covers a system prompt of about 500 tokens.
_PREFIX_BYTES: Final = 2_048
# Typical length of a token in common languages.
_BYTES_PER_TOKEN: Final = 4
# Longer ids would fill log lines.
_MAX_ID_CHARS: Final = 128
_R = reasons.RefusalReason


@attrs.frozen
class HttpRequest:
    """A caller's request as received; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


@attrs.frozen
class Prompt:
    """What a caller declares about its prompt without sending the text.

    Attributes:
      tokens: number of prompt tokens.
      max_output_tokens: most tokens of the answer, 0 if not declared.
      likely_output_tokens: the caller's estimate, 0 if not declared.
      shared_blocks: hashes of the prefix blocks that other requests share, in
        the order of the prompt.
      shared_block: hash of the last of them, 0 if there is none.
      shared_tokens: number of tokens of all shared prefix blocks.
      first_block: hash of the first prefix block, 0 if there is none.
      first_block_tokens: number of tokens of the first prefix block.
    """

    tokens: int = 0
    max_output_tokens: int = 0
    likely_output_tokens: int = 0
    shared_block: int = 0
    shared_tokens: int = 0
    first_block: int = 0
    first_block_tokens: int = 0
    shared_blocks: tuple[int, ...] = ()


@attrs.frozen
class GatewayCall:
    """How a gateway request is forwarded.

    Attributes:
      route: the gateway route that the request matched.
      service: the service selected among those of the route.
      prompt: what the caller declared about its prompt.
      generation: generation of the configuration that the route was
        selected from.
      resumed_stream: id of the caller's attempt that brought the first event
        of the stream that the request resumes, "" if the caller does not name
        it, None if the request resumes none.
      resumed_after: id of the last event that the caller has of that stream,
        b"" for none.
      homes: regions of the servers that may run the request, None for all.
    """

    route: gateway_route.GatewayRoute
    service: str
    prompt: Prompt = Prompt()
    generation: int = 0
    resumed_stream: str | None = None
    resumed_after: bytes = b""
    homes: frozenset[str] | None = None


@attrs.frozen
class Call:
    """A validated request of a caller; times are clock seconds.

    Attributes:
      request_id: unique id, which starts with the caller's id if there is one.
      caller_id: id that the caller sent, or the unique id.
      http: the request as received.
      identity: customer and key of the request.
      request_class: the request class.
      arrived: time at which the request arrived.
      deadline: time by which the request must be answered.
      model: name of the model, or "" for plain services.
      adapter: name of the adapter, or "".
      route: route of a plain service, or None for models.
      stream: whether the answer is streamed.
      max_output_tokens: bound that the caller set, or 0.
      idempotency_key: key that prevents a second run, or "".
      passed: how the gateway forwards the request, or None if it did not
        come through the gateway.
    """

    request_id: str
    caller_id: str
    http: HttpRequest
    identity: authentication.Identity
    request_class: request_class_lib.RequestClass
    arrived: float
    deadline: float
    model: str = ""
    adapter: str = ""
    route: route_lib.Route | None = None
    stream: bool = False
    max_output_tokens: int = 0
    idempotency_key: str = ""
    passed: GatewayCall | None = None

    @property
    def idempotent(self) -> bool:
        """Returns whether the request may run more than once."""
        if self.passed:
            return self.passed.route.idempotent
        return self.route is None or self.route.idempotent

    @property
    def cancelled_on_disconnect(self) -> bool:
        """Returns whether the request is cancelled when its caller leaves."""
        return self.idempotent or (self.passed is not None and self.stream)

    @property
    def resumable(self) -> bool:
        """Returns whether an interrupted answer can be resumed."""
        return self.passed.route.resumable if self.passed else self.stream

    @property
    def service(self) -> str:
        """Returns the service that the request is for, or "" for models."""
        if self.passed:
            return self.passed.service
        return self.route.service if self.route else ""

    @property
    def attempt_limit(self) -> int:
        """Returns the number of servers that the request may be sent to."""
        if self.passed:
            return self.passed.route.attempt_limit
        return scheduler_api.ATTEMPT_LIMIT

    @property
    def prompt_tokens(self) -> int:
        """Returns the number of prompt tokens, estimated if not declared."""
        if self.passed:
            return self.passed.prompt.tokens
        return len(self.http.body) // _BYTES_PER_TOKEN

    @property
    def prefix(self) -> int:
        """Returns a hash of the prompt prefix."""
        if self.passed:
            return self.passed.prompt.shared_block
        return xxhash.xxh3_64_intdigest(self.http.body[:_PREFIX_BYTES])

    @property
    def prompt(self) -> Prompt:
        """Returns what the caller declared about its prompt."""
        return self.passed.prompt if self.passed else Prompt()

    @property
    def prompt_parts(self) -> tuple[int, ...]:
        """Returns hashes of the parts of the prompt that others may share."""
        if self.passed:
            return self.passed.prompt.shared_blocks
        return (self.prefix,) if len(self.http.body) > _PREFIX_BYTES else ()

    @property
    def fingerprint(self) -> int:
        """Returns a hash of the whole request."""
        http = self.http
        sender = self.identity.customer if self.passed else ""
        head = f"{sender}{http.method} {http.path}?{http.query}\n"
        return xxhash.xxh3_64_intdigest(head.encode() + http.body)


@attrs.frozen
class Arrival:
    """Values assigned to a request when it arrives.

    Attributes:
      at: time of arrival in clock seconds.
      max_patience_s: longest time until the deadline that a caller may set.
      request_id: unique id, which starts with the caller's id if there is one.
      caller_id: id that the caller sent, or the unique id.
    """

    at: float
    max_patience_s: float
    request_id: str
    caller_id: str


def new_ids(caller_id: str) -> tuple[str, str]:
    """Returns a unique id and the id to return to the caller."""
    suffix = secrets.token_hex(8)
    usable = caller_id.isascii() and caller_id.isprintable()
    if not caller_id or not usable or len(caller_id) > _MAX_ID_CHARS:
        return suffix, suffix
    return f"{caller_id}{explain.CALLER_ID_SEPARATOR}{suffix}", caller_id


def check_generate(
    http: HttpRequest,
    identity: authentication.Identity,
    configuration: configuration_lib.Configuration,
    arrival: Arrival,
) -> Call | errors.Refusal:
    """Validates a request to a model."""
    fields = _parse_object(http.body)
    if isinstance(fields, errors.Refusal):
        return fields
    request_class = _select_class(http, identity, configuration)
    if isinstance(request_class, errors.Refusal):
        return request_class
    checked = _check_fields(fields, configuration)
    if isinstance(checked, errors.Refusal):
        return checked
    call = _make_call(http, identity, request_class, arrival)
    if isinstance(call, errors.Refusal):
        return call
    return attrs.evolve(
        call,
        model=checked.model,
        adapter=checked.adapter,
        stream=checked.stream,
        max_output_tokens=checked.max_tokens,
    )


def check_service(
    http: HttpRequest,
    identity: authentication.Identity,
    route: route_lib.Route,
    configuration: configuration_lib.Configuration,
    arrival: Arrival,
) -> Call | errors.Refusal:
    """Validates a request to a plain service."""
    named = http.headers.get(CLASS_HEADER)
    if named not in {None, route.request_class}:
        return errors.Refusal(_R.UNKNOWN_CLASS, detail="class of this route")
    request_class = configuration.classes_by_name[route.request_class]
    call = _make_call(http, identity, request_class, arrival)
    if isinstance(call, errors.Refusal):
        return call
    return attrs.evolve(
        call,
        route=route,
        idempotency_key=http.headers.get(IDEMPOTENCY_HEADER, ""),
    )


def _make_call(
    http: HttpRequest,
    identity: authentication.Identity,
    request_class: request_class_lib.RequestClass,
    arrival: Arrival,
) -> Call | errors.Refusal:
    """Creates a call with the fields shared by models and services."""
    deadline = _parse_deadline(http, request_class, arrival)
    if isinstance(deadline, errors.Refusal):
        return deadline
    return Call(
        arrival.request_id,
        arrival.caller_id,
        http,
        identity,
        request_class,
        arrival.at,
        deadline,
    )


@attrs.frozen
class _GenerateFields:
    model: str
    adapter: str
    stream: bool
    max_tokens: int


def _parse_object(body: bytes) -> Mapping[str, Any] | errors.Refusal:
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError:
        return errors.Refusal(_R.INVALID_UTF8)
    try:
        value = orjson.loads(text)
    except orjson.JSONDecodeError:
        return errors.Refusal(_R.MALFORMED_JSON)
    if not isinstance(value, dict):
        return errors.Refusal(_R.MALFORMED_JSON)
    return value


def _check_fields(
    fields: Mapping[str, Any],
    configuration: configuration_lib.Configuration,
) -> _GenerateFields | errors.Refusal:
    named = fields.get("model")
    if not isinstance(named, str):
        return errors.Refusal(_R.INVALID_FIELD, detail="model is a string")
    model, _, adapter = named.partition(":")
    if model not in configuration.models:
        return errors.Refusal(_R.UNKNOWN_MODEL)
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        return errors.Refusal(_R.INVALID_FIELD, detail="stream is a boolean")
    max_tokens = fields.get("max_tokens") or 0
    if not isinstance(max_tokens, int) or max_tokens < 0:
        return errors.Refusal(
            _R.INVALID_FIELD, detail="max_tokens is an integer"
        )
    return _GenerateFields(model, adapter, stream, max_tokens)


def _select_class(
    http: HttpRequest,
    identity: authentication.Identity,
    configuration: configuration_lib.Configuration,
) -> request_class_lib.RequestClass | errors.Refusal:
    customer = configuration.customers_by_name.get(identity.customer)
    allowed = customer.classes if customer else ()
    default_name = allowed[0] if allowed else configuration.default_class
    name = http.headers.get(CLASS_HEADER, default_name)
    found = configuration.classes_by_name.get(name)
    if found is None or (allowed and name not in allowed):
        return errors.Refusal(_R.UNKNOWN_CLASS)
    return found


def _parse_deadline(
    http: HttpRequest,
    request_class: request_class_lib.RequestClass,
    arrival: Arrival,
) -> float | errors.Refusal:
    text = http.headers.get(DEADLINE_HEADER)
    if text is None:
        return arrival.at + request_class.service_level.deadline_s
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = 0.0
    if not 0.0 < timeout_s <= arrival.max_patience_s:
        return errors.Refusal(
            _R.INVALID_HEADER,
            detail=f"{DEADLINE_HEADER} is seconds, at most "
            f"{arrival.max_patience_s:g}",
        )
    return arrival.at + timeout_s
