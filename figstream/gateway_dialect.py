"""Wire format between callers and the gateway.

The gateway passes method, path, query and body on unchanged. Which headers
carry the request id, the key, the prompt and the time limit depends on the
platform, whose adapter implements `CallerDialect`.
"""

from typing import Protocol

import attrs

from figstream import asgi
from figstream import errors
from figstream import inbound

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class CallerHead:
    """Parsed request line and headers of a request.

    Attributes:
      request_id: the caller's id of this attempt.
      host: the Host header.
      method: HTTP method.
      path: path as received, still percent-encoded.
      query: query as received, without the question mark.
      key: the caller's key, "" if none was sent.
      wait_s: seconds that the caller will wait, None if not given.
      prompt: properties of the prompt, as far as known.
      passed: headers to pass on.
      size_bytes: size of all headers.
      resumed_stream: id of the caller's attempt that brought the first event
        of the stream that the request resumes, "" if the caller does not name
        it, None if the request resumes none.
      resumed_after: id of the last event that the caller has of that stream,
        b"" for none.
    """

    request_id: str
    host: str
    method: str
    path: str
    query: str
    key: str
    wait_s: float | None
    prompt: inbound.Prompt
    passed: Headers
    size_bytes: int
    resumed_stream: str | None = None
    resumed_after: bytes = b""


class CallerDialect(Protocol):
    """Wire format between callers and the gateway."""

    def read(self, scope: asgi.Scope) -> CallerHead | errors.Refusal:
        """Parses the headers of a request; returns a refusal if invalid."""

    def refusal_headers(
        self, refusal: errors.Refusal, request_id: str
    ) -> Headers:
        """Returns the headers of a refusal, without those that frame it."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Returns the headers of a server's answer to pass to the caller."""
