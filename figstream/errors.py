"""Tagged outcomes for errors that cross module boundaries."""

from collections.abc import Sequence
import dataclasses

from figstream import message_texts
from figstream import reasons


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that gets an error instead of an answer.

    Attributes:
      reason: why; also the stable error code and the counter's attribute.
      run_state: whether a backend server ran the request.
      detail: what was found, without keys or prompt text.
      retry_after_s: seconds after which a new try makes sense, or None.
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
        """Returns the sentence for the caller, which names the remedy."""
        text = message_texts.REFUSALS[self.reason]
        return f"{text} ({self.detail})" if self.detail else text


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFault:
    """One invalid entry of a settings file."""

    section: str
    key: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Returns the fault as one line that names the remedy."""
        return message_texts.SETTINGS_FAULT.format(
            section=self.section,
            key=self.key,
            found=self.found,
            allowed=self.allowed,
        )


class SettingsError(Exception):
    """Raised when a settings file is invalid; carries every fault."""

    def __init__(self, faults: Sequence[SettingsFault]) -> None:
        """Stores the faults and joins them into the message."""
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = tuple(faults)


class ConfigurationError(Exception):
    """Raised when a configuration breaks a rule; the text names the remedy."""
