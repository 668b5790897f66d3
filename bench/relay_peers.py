"""Provides the token source and the readers of the relay benchmark.

Both use sockets directly, so that their processor time is small beside that
of the relay under measurement.
"""

import asyncio
import functools
import re
import sys
import time
from typing import Final

HOST: Final = "127.0.0.1"
TOKEN_INTERVAL_S: Final = 0.010
_EVENT: Final = (
    b'data: {"id":"x","model":"caption-1","choices":[{"index":0,'
    b'"delta":{"content":"w%05d "}}]}\n\n'
)
_REQUEST_ID: Final = re.compile(rb"x-request-id: ([^\r]+)", re.IGNORECASE)
_MAX_TOKENS: Final = re.compile(rb'"max_tokens":(\d+)')
_CONTENT_LENGTH: Final = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def _encode_chunk(body: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(body), body)


async def _stream_tokens(
    interval_s: float,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            break
        length = _CONTENT_LENGTH.search(head)
        body = await reader.readexactly(int(length[1]) if length else 0)
        request_id = _REQUEST_ID.search(head)
        max_tokens = _MAX_TOKENS.search(body)
        tokens = int(max_tokens[1]) if max_tokens else 0
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\nx-request-id: %s\r\n\r\n"
            % (request_id[1] if request_id else b"")
        )
        due = time.monotonic()
        for number in range(tokens):
            writer.write(_encode_chunk(_EVENT % number))
            due += interval_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        writer.write(_encode_chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
        await writer.drain()
    writer.close()


async def read_stream(port: int, head: bytes, delay_s: float) -> list[float]:
    """Reads one stream; returns the time at which each token arrived."""
    await asyncio.sleep(delay_s)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(head)
    times: list[float] = []
    tail = b""
    while b"[DONE]" not in tail:
        data = await reader.read(65_536)
        if not data:
            raise ConnectionError("token stream closed before its [DONE] event")
        now = time.monotonic()
        events = (tail[-5:] + data).count(b"data: {")
        times += [now] * events
        tail = tail[-16:] + data
    writer.close()
    return times


async def _serve_tokens(interval_s: float) -> None:
    server = await asyncio.start_server(
        functools.partial(_stream_tokens, interval_s), HOST, 0
    )
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    sys.exit(asyncio.run(_serve_tokens(float(sys.argv[1]))))
