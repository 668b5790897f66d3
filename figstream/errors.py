"""Defines the refusals and exceptions that cross module boundaries."""

from collections.abc import Sequence
import dataclasses

from figstream import message_texts
from figstream import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The outcome of a request that is answered with an error.

    Attributes:
      reason: reason of the refusal; also the stable error code and the
        attribute of the metrics counter.
      run_state: whether a backend server ran the request.
      detail: details for the message, without keys or prompt text.
      retry_after_s: seconds after which the caller may retry, or None.
    """

    reason: reasons.RefusalReason
    run_state: reasons.RunState = reasons.RunState.NOT_RUN
    detail: str = ""
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """Returns the HTTP status code of the error answer."""
        return message_texts.HTTP_STATUS[self.reason]

    @property
    def message(self) -> str:
        """Returns the error message for the caller, which names the remedy."""
        text = message_texts.REFUSALS[self.reason]
        return f"{text} ({self.detail})" if self.detail else text


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One invalid or missing entry of a settings file."""

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Returns a description on one line, which names the remedy."""
        return message_texts.SETTINGS_FAULT.format(
            section=self.section,
            key=self.key,
            found=self.found,
            allowed=self.allowed,
        )


class SettingsError(Exception):
    """Raised when a settings file is invalid; contains every fault found."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        """Stores the faults and builds the message from them."""
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class ConfigurationError(Exception):
    """Raised when a configuration is invalid; the message names the remedy."""
