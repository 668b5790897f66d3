"""Default values of settings and bounds shared by several modules."""

from typing import Final

CALLER_PORT: Final = 8080
PEER_PORT: Final = 8081
OPERATOR_PORT: Final = 8082
BODY_LIMIT_BYTES: Final = 4_000_000
HEADER_LIMIT_BYTES: Final = 32_000
MAX_PATIENCE_S: Final = 3600.0
KEY_TRUST_S: Final = 600.0
SHUTDOWN_LIMIT_S: Final = 600.0
LOG_LEVEL: Final = "info"
DRAIN_DELAY_S: Final = 3.0
WINDOW_S: Final = 60.0
LEASE_S: Final = 6.0
PLATFORM_TIMEOUT_S: Final = 2.0
HEARTBEAT_S: Final = 1.0
NEIGHBOURS: Final = 6
EXPLAIN_RECORDS: Final = 4096
USAGE_DELTA_S: Final = 10.0
USAGE_RETENTION_S: Final = 172_800.0
