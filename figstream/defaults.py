"""Default values of settings and bounds shared by several modules."""

from typing import Final

CALLER_PORT: Final = 8080
PEER_PORT: Final = 8081
OPERATOR_PORT: Final = 8082
# Bytes; a prompt of a million tokens.
BODY_LIMIT_BYTES: Final = 4_000_000
# Bytes; four times what common clients send.
HEADER_LIMIT_BYTES: Final = 32_000
# Seconds; the longest batch request.
MAX_PATIENCE_S: Final = 3600.0
# Seconds; an outage of a zone that nobody has to notice.
KEY_TRUST_S: Final = 600.0
# Seconds; the longest stream.
SHUTDOWN_LIMIT_S: Final = 600.0
LOG_LEVEL: Final = "info"
# Seconds; two questions of a balancer that asks once a second.
DRAIN_DELAY_S: Final = 3.0
# Seconds; the platform books usage by the minute.
WINDOW_S: Final = 60.0
# Seconds; with a renewal each third, two may be lost.
LEASE_S: Final = 6.0
# Seconds; the platform answers in milliseconds.
PLATFORM_TIMEOUT_S: Final = 2.0
# Seconds; a death is noticed within a few.
HEARTBEAT_S: Final = 1.0
# Daemons; half of them may die at once.
NEIGHBOURS: Final = 6
# Records; about two megabytes.
EXPLAIN_RECORDS: Final = 4096
# Seconds of counts that a lost VM may cost.
USAGE_DELTA_S: Final = 10.0
# Seconds; a daemon cut off for two days still has its counts booked.
USAGE_RETENTION_S: Final = 172_800.0
