"""How the gateway reads requests of callers and words its own answers.

The gateway passes method, path, query and body on as they came. Which
headers name the request, its key, its prompt and its time limit is a matter
of the platform that it runs on.
"""

from typing import Protocol

import attrs

from figstream import asgi
from figstream import errors
from figstream import inbound

Headers = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class CallerHead:
    """What the headers of a request say.

    Attributes:
      request_id: the caller's id of this attempt.
      host: the Host header.
      method: HTTP method.
      path: path as it came, still quoted.
      query: query as it came, without the question mark.
      key: the caller's key, "" if it sent none.
      wait_s: seconds that the caller will wait, None if not told.
      prompt: what is known of the prompt.
      passed: headers to pass on.
      size_bytes: size of all headers.
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


class CallerDialect(Protocol):
    """The wire between callers and the gateway."""

    def read(self, scope: asgi.Scope) -> CallerHead | errors.Refusal:
        """Reads the headers of a request."""

    def refusal_headers(
        self, refusal: errors.Refusal, request_id: str
    ) -> Headers:
        """Returns the headers of a refusal, without the framing ones."""

    def passed_back(self, headers: Headers) -> Headers:
        """Returns the headers of a server's answer that callers get."""
