"""Interface between the request path and the claim journal.

A call that must run at most once is claimed before it is sent to a backend
server. The journal stores the result, so that a retry receives the first
answer.
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
      body: the complete body.
    """

    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Permission to run the call once; only one claimant receives it."""

    claim_id: str
    customer: str
    idempotency_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class AlreadyAnswered:
    """The stored answer of a call that already ran."""

    result: StoredResult


ClaimOutcome = Claimed | AlreadyAnswered | errors.Refusal


class ClaimJournal(Protocol):
    """Records claims of calls that must run at most once."""

    async def claim(
        self, customer: str, idempotency_key: str, fingerprint: int
    ) -> ClaimOutcome:
        """Returns a new claim, the stored answer of the call, or a refusal."""

    async def complete(self, claim: Claimed, result: StoredResult) -> bool:
        """Stores an answer; returns whether all of it is known to be stored."""

    async def release(self, claim: Claimed) -> bool:
        """Withdraws a claim whose call certainly did not run."""
