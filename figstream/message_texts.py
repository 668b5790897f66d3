"""Messages for callers and operators, and the HTTP status of each refusal.

Each message states how to solve the problem.
"""

from collections.abc import Mapping
from typing import Final

from figstream import reasons

_R = reasons.RefusalReason

SETTINGS_FAULT: Final = "[{section}] {key}: found {found!r}; allowed: {allowed}"

GENERATION_CONFLICT: Final = (
    "Another change came first; read generation {current}, make the change "
    "on it and send it again."
)
CHANGE_NOT_MADE: Final = (
    "The platform can't be reached and nothing was changed; try again later "
    "({detail})."
)
CHANGE_UNKNOWN: Final = (
    "The change may have been accepted; send it again with change id "
    "{write_id}, which never makes it twice ({detail})."
)

EMPTY_OPERATION: Final = "An operation is empty; fill it in."
NO_SUCH_ITEM: Final = "no {kind} {name!r}; use one of: {known}"
CUSTOMER_HAS_KEYS: Final = (
    "customer {name!r} has keys that work; withdraw them first: {keys}"
)
OPERATOR_TOKEN_UNSET: Final = (
    "Calls from other VMs need a token; set token_digest in section "
    "[operators] of the settings, or call from this VM."
)
OPERATOR_TOKEN_WRONG: Final = (
    "The operator token is missing or wrong; put the right one into "
    "FIGSTREAM_OPERATOR_TOKEN."
)
DAEMON_SILENT: Final = (
    "No answer from the daemon at {address} ({detail}); check --address and "
    "the daemon, or use another daemon, then check with 'operator show' "
    "whether a change was made."
)
NO_CHANGE: Final = (
    "The configuration already matches the request; nothing was changed."
)

REFUSALS: Final[Mapping[reasons.RefusalReason, str]] = {
    _R.MISSING_KEY: "No key was sent; add 'Authorization: Bearer KEY'.",
    _R.UNKNOWN_KEY: "The key is not known; ask the operator for a valid key.",
    _R.WITHDRAWN_KEY: "The key was withdrawn; ask the operator for a new key.",
    _R.KEY_NOT_CONFIRMED: (
        "This zone has been partitioned for too long to trust the key; "
        "call another zone or try again later."
    ),
    _R.ROUTE_NOT_ALLOWED: (
        "The key's customer may not use this route; use another route or ask "
        "the operator for access."
    ),
    _R.UNKNOWN_ROUTE: "No such route; see /v1/models and the service routes.",
    _R.UNKNOWN_MODEL: "No such model; see /v1/models for those you may use.",
    _R.UNKNOWN_CLASS: (
        "No such request class for this customer; leave the class header out "
        "or ask the operator for the names."
    ),
    _R.BODY_TOO_LARGE: "The body is too long; send a shorter one.",
    _R.HEADERS_TOO_LARGE: "The headers are too long; send fewer or shorter.",
    _R.MALFORMED_JSON: "The body is not a JSON object; correct it.",
    _R.INVALID_UTF8: "The body is not valid UTF-8; encode it as UTF-8.",
    _R.INVALID_FIELD: "A field of the body has a wrong value; correct it.",
    _R.INVALID_HEADER: "A header has a wrong value; correct it.",
    _R.NO_CONFIGURATION: "No configuration has arrived yet; try again shortly.",
    _R.CONFIGURATION_NOT_CONFIRMED: (
        "No such route or key is known here, but a newer configuration may "
        "have it; try again after the time in Retry-After."
    ),
    _R.QUEUE_COUNT_FULL: "Too many requests are waiting; try again later.",
    _R.QUEUE_BYTES_FULL: "Too many bytes are waiting; try again later.",
    _R.DEADLINE_UNREACHABLE: (
        "The deadline can't be met at the present load; try again later or "
        "allow more time."
    ),
    _R.DEADLINE_PASSED: "The deadline passed; allow more time.",
    _R.REQUEST_RATE_EXCEEDED: (
        "The customer's limit of requests a second is reached; slow down."
    ),
    _R.TOKEN_RATE_EXCEEDED: (
        "The customer's limit of tokens a second is reached; slow down."
    ),
    _R.CONCURRENCY_EXCEEDED: (
        "The customer's limit of concurrent requests is reached; wait for "
        "answers before sending more."
    ),
    _R.SHED_FOR_OTHERS: (
        "Dropped while waiting, in favour of a higher tier or of customers "
        "with less use; try again later."
    ),
    _R.NO_BACKEND_SERVER: "No backend server can take this; try again later.",
    _R.BACKEND_SERVERS_PAUSED: (
        "Every backend server has asked for a pause; try again after the time "
        "in Retry-After."
    ),
    _R.BACKEND_SERVERS_LIMITED: (
        "Every backend server has named a limit that is reached; try again "
        "after the time in Retry-After."
    ),
    _R.CLAIM_UNAVAILABLE: (
        "The call can't be protected from running twice at present; send it "
        "again with the same idempotency key."
    ),
    _R.CLAIM_UNRESOLVED: (
        "An earlier call with this idempotency key may have run and is not "
        "run again; check its effect before using a new key."
    ),
    _R.CLAIM_MISMATCH: (
        "This idempotency key was used with another body; use a new key."
    ),
    _R.CRASHES_BACKEND_SERVERS: (
        "Backend servers failed while running this request; change the "
        "request before sending it again."
    ),
    _R.PROMPT_CRASHES_SERVERS: (
        "Backend servers failed while answering prompts with one of these "
        "parts; change the prompt, or try again after the time in Retry-After."
    ),
    _R.RETRY_BUDGET_SPENT: (
        "A backend server failed and too many retries are under way; try "
        "again later."
    ),
    _R.BACKEND_SERVER_FAILED: "A backend server failed; try again.",
    _R.BACKEND_SERVER_REFUSED: "The backend server refused; see the detail.",
    _R.ANSWER_INCOMPLETE: "The answer was interrupted; send the request again.",
    _R.STREAM_SOFTWARE_UNKNOWN: (
        "It is not known which software version began the stream, so it can't "
        "go on; begin a new stream."
    ),
    _R.STREAM_SOFTWARE_GONE: (
        "No server runs the software version that began the stream; begin a "
        "new stream."
    ),
    _R.BODY_MEMORY_FULL: "This VM has no memory left for the body; send the "
    "request again.",
    _R.CALLER_GONE: "The connection was closed while the request waited; send "
    "the request again.",
    _R.SHUTTING_DOWN: "This VM is shutting down; send the request again.",
    _R.INTERNAL_ERROR: "An internal error; report the request id.",
}

HTTP_STATUS: Final[Mapping[reasons.RefusalReason, int]] = {
    _R.MISSING_KEY: 401,
    _R.UNKNOWN_KEY: 401,
    _R.WITHDRAWN_KEY: 401,
    _R.KEY_NOT_CONFIRMED: 503,
    _R.ROUTE_NOT_ALLOWED: 403,
    _R.UNKNOWN_ROUTE: 404,
    _R.UNKNOWN_MODEL: 404,
    _R.UNKNOWN_CLASS: 400,
    _R.BODY_TOO_LARGE: 413,
    _R.HEADERS_TOO_LARGE: 431,
    _R.MALFORMED_JSON: 400,
    _R.INVALID_UTF8: 400,
    _R.INVALID_FIELD: 400,
    _R.INVALID_HEADER: 400,
    _R.NO_CONFIGURATION: 503,
    _R.CONFIGURATION_NOT_CONFIRMED: 503,
    _R.QUEUE_COUNT_FULL: 429,
    _R.QUEUE_BYTES_FULL: 429,
    _R.DEADLINE_UNREACHABLE: 503,
    _R.DEADLINE_PASSED: 504,
    _R.REQUEST_RATE_EXCEEDED: 429,
    _R.TOKEN_RATE_EXCEEDED: 429,
    _R.CONCURRENCY_EXCEEDED: 429,
    _R.SHED_FOR_OTHERS: 503,
    _R.NO_BACKEND_SERVER: 503,
    _R.BACKEND_SERVERS_PAUSED: 503,
    _R.BACKEND_SERVERS_LIMITED: 503,
    _R.CLAIM_UNAVAILABLE: 503,
    _R.CLAIM_UNRESOLVED: 409,
    _R.CLAIM_MISMATCH: 422,
    _R.CRASHES_BACKEND_SERVERS: 422,
    _R.PROMPT_CRASHES_SERVERS: 503,
    _R.RETRY_BUDGET_SPENT: 502,
    _R.BACKEND_SERVER_FAILED: 502,
    _R.BACKEND_SERVER_REFUSED: 502,
    _R.ANSWER_INCOMPLETE: 502,
    _R.BODY_MEMORY_FULL: 503,
    _R.CALLER_GONE: 503,
    _R.SHUTTING_DOWN: 503,
    _R.INTERNAL_ERROR: 500,
}
