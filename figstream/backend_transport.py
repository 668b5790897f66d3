"""The httpx transport towards backend servers.

It runs on an httpcore pool with the paced network layer and hands the
connection to the relay as the response extension `paced_stream`.
"""

from collections.abc import AsyncIterator
from typing import Final

import httpcore
import httpx

from figstream import backend_network

PACED_STREAM: Final = "paced_stream"
_IDLE_CONNECTIONS: Final = 256
_IDLE_S: Final = 30.0


class _AnswerStream(httpx.AsyncByteStream):
    """The body of an answer as it arrives."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._response.aiter_stream():
            yield chunk

    async def aclose(self) -> None:
        await self._response.aclose()


class BackendTransport(httpx.AsyncBaseTransport):
    """Sends requests to backend servers."""

    def __init__(self) -> None:
        """Starts without connections."""
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=_IDLE_CONNECTIONS,
            keepalive_expiry=_IDLE_S,
            network_backend=backend_network.PacedBackend(),
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends one request; httpcore's exceptions pass through."""
        url = httpcore.URL(
            scheme=request.url.raw_scheme,
            host=request.url.raw_host,
            port=request.url.port,
            target=request.url.raw_path,
        )
        response = await self._pool.handle_async_request(
            httpcore.Request(
                method=request.method,
                url=url,
                headers=request.headers.raw,
                content=await request.aread(),
                extensions=request.extensions,
            )
        )
        stream = response.extensions.get("network_stream")
        return httpx.Response(
            status_code=response.status,
            headers=response.headers,
            stream=_AnswerStream(response),
            extensions={PACED_STREAM: stream},
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
