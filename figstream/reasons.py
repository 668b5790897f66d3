"""Defines the run states and the reasons for refusals and retries.

A reason has the same name in the error code sent to the caller, the counter's
label and the log line, so that the three can be matched.
"""

import enum


class RunState(enum.Enum):
    """Whether a backend server ran the request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class RefusalReason(enum.Enum):
    """Reasons for which a request is refused."""

    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    WITHDRAWN_KEY = "withdrawn_key"
    KEY_NOT_CONFIRMED = "key_not_confirmed"
    ROUTE_NOT_ALLOWED = "route_not_allowed"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_CLASS = "unknown_class"
    BODY_TOO_LARGE = "body_too_large"
    BODY_MEMORY_FULL = "body_memory_full"
    HEADERS_TOO_LARGE = "headers_too_large"
    MALFORMED_JSON = "malformed_json"
    INVALID_UTF8 = "invalid_utf8"
    INVALID_FIELD = "invalid_field"
    INVALID_HEADER = "invalid_header"
    NO_CONFIGURATION = "no_configuration"
    CONFIGURATION_NOT_CONFIRMED = "configuration_not_confirmed"
    QUEUE_COUNT_FULL = "queue_count_full"
    QUEUE_BYTES_FULL = "queue_bytes_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    REQUEST_RATE_EXCEEDED = "request_rate_exceeded"
    TOKEN_RATE_EXCEEDED = "token_rate_exceeded"
    CONCURRENCY_EXCEEDED = "concurrency_exceeded"
    SHED_FOR_OTHERS = "shed_for_others"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVERS_PAUSED = "backend_servers_paused"
    BACKEND_SERVERS_LIMITED = "backend_servers_limited"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_UNRESOLVED = "claim_unresolved"
    CLAIM_MISMATCH = "claim_mismatch"
    CRASHES_BACKEND_SERVERS = "crashes_backend_servers"
    PROMPT_CRASHES_SERVERS = "prompt_crashes_servers"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    BACKEND_SERVER_REFUSED = "backend_server_refused"
    ANSWER_INCOMPLETE = "answer_incomplete"
    STREAM_SOFTWARE_UNKNOWN = "stream_software_unknown"
    STREAM_SOFTWARE_GONE = "stream_software_gone"
    CALLER_GONE = "caller_gone"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL_ERROR = "internal_error"


class RetryReason(enum.Enum):
    """Reasons for which an attempt at a backend server is retried."""

    CONNECT_FAILED = "connect_failed"
    REFUSED_BY_SERVER = "refused_by_server"
    FIRST_BYTE_TIMEOUT = "first_byte_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    CONNECTION_LOST = "connection_lost"
    ANSWER_CROSSED = "answer_crossed"
    ANSWER_TRUNCATED = "answer_truncated"
    SERVER_ERROR = "server_error"
    REFUSAL_UNPROVEN = "refusal_unproven"
    PREEMPTED = "preempted"
