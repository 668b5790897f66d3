"""The interface between the request path and the journal of claims.

A call that may not be repeated is claimed before it is sent. The journal
keeps the result, so that a repeat gets the first answer.
"""

import dataclasses
from typing import Protocol

import attrs

from figstream import errors


@attrs.frozen
class StoredResult:
    """The answer to a claimed call.

    Attributes:
      status: HTTP status code.
      content_type: media type of the body.
      body: the body, whole.
    """

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The caller of the journal, and nobody else, may run the call once."""

    claim_id: str
    customer: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Repeated:
    """The call ran before; this is its answer."""

    result: StoredResult


ClaimOutcome = Claimed | Repeated | errors.Refusal


class ClaimJournal(Protocol):
    """Claims of calls that may not be repeated."""

    async def claim(
        self, customer: str, idempotency_key: str, fingerprint: int
    ) -> ClaimOutcome:
        """Claims a call, finds its answer, or refuses it."""

    async def complete(self, claim: Claimed, result: StoredResult) -> bool:
        """Stores the answer; returns whether it is known to be kept."""

    async def release(self, claim: Claimed) -> bool:
        """Gives up a claim whose call certainly did not run."""
