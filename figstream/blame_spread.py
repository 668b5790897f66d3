"""Propagates findings about crashes to the other daemons as notices.

New findings are published within `PUBLISH_INTERVAL_S`; the notice then travels
from neighbour to neighbour, one hop each. Findings that cause refusals are
repeated for daemons that start later.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Final
from typing import Protocol

import anyio

from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import notices as notices_lib

# Shorter than the time until a caller retries a request.
PUBLISH_INTERVAL_S: Final = 0.1
# Enough for a notice to reach every live daemon.
_NOTICE_TTL_S: Final = 60.0
# Shorter than the life of a notice, so that a daemon that starts always
# receives one.
REPEAT_INTERVAL_S: Final = 45.0


class Findings(Protocol):
    """What a daemon found out about crashes and shares with others."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls the listener when there is a finding to publish."""

    def take_payload(self, now: float) -> bytes:
        """Returns findings not yet published, b"" if there are none."""

    def repeat(self, now: float) -> None:
        """Publishes own findings that cause refusals once more."""

    def apply_payload(self, payload: bytes, now: float) -> None:
        """Applies findings of another daemon.

        Args:
          payload: the findings.
          now: clock time at which they were taken.
        """


class BlameSpread:
    """Publishes local findings and applies those of other daemons."""

    def __init__(
        self,
        kind: str,
        findings: Findings,
        notices: notices_lib.Notices,
        clock: clock_lib.Clock,
    ) -> None:
        """Subscribes to the notices of a kind."""
        self._kind = kind
        self._findings = findings
        self._notices = notices
        self._clock = clock
        self._unpublished = b""
        self._pending = anyio.Event()
        findings.subscribe(self._note_pending)
        notices.subscribe_lasting(kind, self._apply_notice)

    async def run(self) -> None:
        """Publishes new findings in batches until cancelled."""
        while True:
            await self._pending.wait()
            self._pending = anyio.Event()
            await self._clock.sleep(PUBLISH_INTERVAL_S)
            while self.publish_pending():
                await self._clock.sleep(PUBLISH_INTERVAL_S)

    async def hand_over(self) -> None:
        """Publishes findings that are not published yet."""
        self.publish_pending()

    def publish_pending(self) -> bool:
        """Publishes pending findings, at most as many as a notice holds.

        Returns:
          Whether there were any findings.
        """
        payload = self._unpublished or self._findings.take_payload(
            self._clock.now()
        )
        if not payload:
            return False
        sent = self._notices.publish(self._kind, payload, _NOTICE_TTL_S)
        self._unpublished = b"" if sent else payload
        return True

    def _note_pending(self) -> None:
        self._pending.set()

    def _apply_notice(self, payload: bytes, left_s: float) -> None:
        # The ages in a payload count from its publication.
        age_s = max(0.0, _NOTICE_TTL_S - left_s)
        self._findings.apply_payload(payload, self._clock.now() - age_s)


class FindingRepeats:
    """Repeats at intervals the findings that cause refusals."""

    def __init__(
        self, findings: Sequence[Findings], clock: clock_lib.Clock
    ) -> None:
        """Stores the sources of the findings to repeat."""
        self._findings = findings
        self._clock = clock

    async def run(self) -> None:
        """Repeats findings until cancelled."""
        while True:
            await self._clock.sleep(REPEAT_INTERVAL_S)
            for item in self._findings:
                item.repeat(self._clock.now())

    async def hand_over(self) -> None:
        """Has nothing to hand over; the spread publishes what is pending."""


def make_spread_roles(
    findings_by_kind: Mapping[str, Findings],
    notices: notices_lib.Notices,
    clock: clock_lib.Clock,
) -> Sequence[daemon_context.Role]:
    """Creates the roles that share a daemon's findings with the others.

    Args:
      findings_by_kind: the findings by the kind of their notices.
      notices: the notices of the daemon.
      clock: source of the current time.
    """
    spreads = (
        BlameSpread(kind, findings, notices, clock)
        for kind, findings in findings_by_kind.items()
    )
    return *spreads, FindingRepeats(tuple(findings_by_kind.values()), clock)
