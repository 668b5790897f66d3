"""Defines default values of settings and bounds shared by several modules."""

from typing import Final

CALLER_PORT: Final = 8080
PEER_PORT: Final = 8081
OPERATOR_PORT: Final = 8082
# Holds a prompt of a million tokens.
BODY_LIMIT_BYTES: Final = 4_000_000
# Four times the headers that common clients send.
HEADER_LIMIT_BYTES: Final = 32_000
# Covers the longest batch request.
MAX_PATIENCE_S: Final = 3600.0
# An outage of a zone up to this long goes unnoticed by callers.
KEY_TRUST_S: Final = 600.0
# Covers the longest stream.
SHUTDOWN_LIMIT_S: Final = 600.0
LOG_LEVEL: Final = "info"
# Covers two readiness checks of a load balancer that polls once a second.
DRAIN_DELAY_S: Final = 3.0
# The platform books usage by the minute.
WINDOW_S: Final = 60.0
# A lease is renewed each third of its length, so two renewals may be lost.
LEASE_S: Final = 6.0
# The platform normally answers within milliseconds.
PLATFORM_TIMEOUT_S: Final = 2.0
# A failed daemon is detected within a few seconds.
HEARTBEAT_S: Final = 1.0
# Number of daemons that receive heartbeats; half of them may fail together.
NEIGHBOURS: Final = 6
# The records take about two megabytes.
EXPLAIN_RECORDS: Final = 4096
# Bounds the seconds of usage counts that are lost with a VM.
USAGE_DELTA_S: Final = 10.0
# Usage of a daemon that was partitioned for two days is still booked.
USAGE_RETENTION_S: Final = 172_800.0
