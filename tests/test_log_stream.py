"""Tests that writing log lines never blocks and is bounded in rate."""

import logging
import os

from figstream import log_stream


def _emit(handler: log_stream.BoundedHandler, text: str, level: int) -> None:
    handler.emit(logging.LogRecord("n", level, "p", 1, text, None, None))


def test_a_stalled_reader_does_not_block_logging() -> None:
    """Never ends when the descriptor is in blocking mode."""
    reading, writing = os.pipe()
    handler = log_stream.BoundedHandler(writing)
    for _ in range(1_500):
        _emit(handler, "x" * 200, logging.INFO)
    assert handler.dropped > 0
    text = os.read(reading, 10_000_000).decode()
    _emit(handler, "again", logging.WARNING)
    text += os.read(reading, 1_000_000).decode()
    lines = text.split("\n")[:-1]
    assert all(line == "x" * 200 for line in lines[:-2])
    assert lines[-2].startswith("event=log_lines_dropped lines=")
    assert lines[-1] == "again"
    os.close(reading)
    os.close(writing)


def test_a_flood_of_lines_leaves_room_for_warnings() -> None:
    reading, writing = os.pipe()
    handler = log_stream.BoundedHandler(writing)
    for _ in range(4_000):
        _emit(handler, "i", logging.INFO)
    dropped = handler.dropped
    assert dropped >= 1_500
    _emit(handler, "w", logging.WARNING)
    assert handler.dropped == dropped
    os.close(reading)
    os.close(writing)
