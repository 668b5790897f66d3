"""Determines the customer of a request from its API key.

The key is checked when the request arrives, when the queued request is
dispatched and before each retry; see `still_valid`.
"""

import attrs

from figstream import api_key
from figstream import configuration_holder
from figstream import errors
from figstream import reasons

_SCHEME = "bearer "


@attrs.frozen
class Identity:
    """The customer and key id of a request; both are empty on open routes."""

    customer: str = ""
    key_id: str = ""


ANONYMOUS = Identity()


class Authenticator:
    """Checks keys against the active configuration."""

    def __init__(
        self,
        holder: configuration_holder.ConfigurationHolder,
        key_trust_s: float,
        split: api_key.KeySplitter = api_key.split,
    ) -> None:
        """Initializes the authenticator.

        Args:
          holder: holder of the active configuration.
          key_trust_s: seconds for which keys are trusted after the
            configuration was last confirmed.
          split: returns the id and the secret of a key.
        """
        self._holder = holder
        self._key_trust_s = key_trust_s
        self._split = split

    def identify(self, authorization: str) -> Identity | errors.Refusal:
        """Returns the customer and key of an Authorization header."""
        if authorization[: len(_SCHEME)].lower() != _SCHEME:
            return errors.Refusal(reasons.RefusalReason.MISSING_KEY)
        parts = self._split(authorization[len(_SCHEME) :].strip())
        if parts is None:
            return errors.Refusal(reasons.RefusalReason.UNKNOWN_KEY)
        key_id, secret = parts
        record = self._holder.current.keys_by_id.get(key_id)
        if record is None or not record.matches(secret):
            return errors.Refusal(reasons.RefusalReason.UNKNOWN_KEY)
        identity = Identity(record.customer, key_id)
        return self.still_valid(identity) or identity

    def still_valid(self, identity: Identity) -> errors.Refusal | None:
        """Returns a refusal if a key is no longer valid, or None if it is."""
        if identity == ANONYMOUS:
            return None
        record = self._holder.current.keys_by_id.get(identity.key_id)
        if record is None:
            return errors.Refusal(reasons.RefusalReason.UNKNOWN_KEY)
        if record.withdrawn:
            return errors.Refusal(reasons.RefusalReason.WITHDRAWN_KEY)
        if self._holder.unconfirmed_s > self._key_trust_s:
            return errors.Refusal(reasons.RefusalReason.KEY_NOT_CONFIRMED)
        return None
