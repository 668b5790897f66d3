"""The target of a request: a model with an adapter, or a plain service.

Requests with the same target compete for the same backend servers, so the
scheduler keeps queues, estimates and candidate lists by target.
"""

import attrs

from figstream import backend_server
from figstream import scheduler_api


@attrs.frozen(cache_hash=True)
class Target:
    """A model with an adapter, or a plain service.

    Attributes:
      model: the model, or "".
      service: the plain service, or "".
      adapter: the adapter, or "".
      software: the only software version of the servers, None for any.
      homes: regions of the servers, None for all.
    """

    model: str = ""
    service: str = ""
    adapter: str = ""
    software: str | None = None
    homes: frozenset[str] | None = None

    def served_by(self, server: backend_server.BackendServer) -> bool:
        """Returns whether the backend server can serve this target."""
        if self.software is not None and server.software != self.software:
            return False
        if self.homes is not None and server.region not in self.homes:
            return False
        if self.service:
            return server.service == self.service
        if self.adapter and self.adapter not in server.adapters:
            return False
        return self.model in server.models


def target_of(request: scheduler_api.PendingRequest) -> Target:
    """Returns the target of a request."""
    return Target(
        request.model,
        request.service,
        request.adapter,
        request.software,
        request.homes,
    )
