"""Log lines of key=value pairs, one for each event.

Callers pass identifiers and figures only; keys and prompt text never reach
this module.
"""

import json
import logging as std_logging
import time
from typing import Final

from absl import flags
from absl import logging

from figstream import log_stream

_PLAIN: Final = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/@+~"
)
_LIBRARIES: Final = ("httpx", "httpcore", "hypercorn", "grpc")
LEVELS: Final = ("debug", "info", "warning", "error")


def configure(level: str) -> None:
    """Sends log lines of the given level and above to standard output."""
    # absl warns of every line until its own flags, unused here, are parsed.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    handler = log_stream.BoundedHandler()
    handler.setFormatter(_make_formatter())
    root = std_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    logger = logging.get_absl_logger()
    logger.propagate = True
    logger.setLevel(level.upper())
    # Libraries log addresses and paths in a form of their own.
    for library in _LIBRARIES:
        std_logging.getLogger(library).setLevel(std_logging.WARNING)


def _make_formatter() -> std_logging.Formatter:
    formatter = std_logging.Formatter(
        "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s",
        "%Y-%m-%dT%H:%M:%S",
    )
    formatter.converter = time.gmtime
    return formatter


def quote(value: object) -> str:
    """Returns the value, quoted when it holds anything but plain text."""
    text = str(value)
    if text and all(char in _PLAIN for char in text):
        return text
    return json.dumps(text)


def line(event: str, **fields: object) -> str:
    """Returns the log line of an event."""
    pairs = (f"{key}={quote(value)}" for key, value in fields.items())
    return " ".join((f"event={event}", *pairs))


def debug(event: str, **fields: object) -> None:
    """Logs an event that only a maintainer wants."""
    if logging.vlog_is_on(1):
        logging.debug(line(event, **fields))


def info(event: str, **fields: object) -> None:
    """Logs an event of normal operation."""
    logging.info(line(event, **fields))


def warning(event: str, **fields: object) -> None:
    """Logs an event that an operator may want to act on."""
    logging.warning(line(event, **fields))


def error(event: str, **fields: object) -> None:
    """Logs an event that an operator must act on."""
    logging.error(line(event, **fields))
