"""Estimates the cost of requests whose output length is not known yet.

At dispatch a customer is charged for the output length expected from earlier
answers of the same customer, class and model. The scheduler replaces the
expected cost by the actual one when the attempt ends.
"""

import collections
from typing import Final

from figstream import scheduler_api

# The cost of reading one prompt token is the unit of cost.
PROMPT_TOKEN_COST: Final = 1.0
# Decoding a token occupies a slot for about twice as long as reading one.
OUTPUT_TOKEN_COST: Final = 2.0
# Expected output of a class without observations.
_DEFAULT_OUTPUT_TOKENS: Final = 128.0
# Weight of the newest answer; the last ten answers dominate the mean.
_SMOOTHING: Final = 0.1
# Has to cover customers times classes times models in use.
_MAX_ENTRIES: Final = 8192

_Key = tuple[str, str, str]


class OutputEstimates:
    """Expected output tokens by customer, class and model.

    The number of entries is bounded; the least recently updated are evicted.
    """

    def __init__(self) -> None:
        """Creates estimates without observations."""
        self._means: collections.OrderedDict[_Key, float] = (
            collections.OrderedDict()
        )

    def expected(self, request: scheduler_api.PendingRequest) -> float:
        """Returns the expected number of output tokens of a request."""
        if request.service:
            return 0.0
        own_key, shared_key = _keys(request)
        mean = self._means.get(own_key)
        if mean is None:
            mean = self._means.get(shared_key, _DEFAULT_OUTPUT_TOKENS)
        if request.max_output_tokens:
            return min(mean, float(request.max_output_tokens))
        return mean

    def observe(
        self, request: scheduler_api.PendingRequest, output_tokens: int
    ) -> None:
        """Records the output length of a complete answer."""
        for key in _keys(request):
            mean = self._means.get(key, float(output_tokens))
            self._means[key] = mean + _SMOOTHING * (output_tokens - mean)
            self._means.move_to_end(key)
        while len(self._means) > _MAX_ENTRIES:
            self._means.popitem(last=False)

    def cost(self, request: scheduler_api.PendingRequest) -> float:
        """Returns the expected cost of a request."""
        return cost_of(request.prompt_tokens, self.expected(request))


def cost_of(prompt_tokens: float, output_tokens: float) -> float:
    """Returns the cost of a request, which is at least one unit."""
    return (
        1.0
        + PROMPT_TOKEN_COST * prompt_tokens
        + OUTPUT_TOKEN_COST * output_tokens
    )


def _keys(request: scheduler_api.PendingRequest) -> tuple[_Key, _Key]:
    name = request.request_class.name
    return (
        (request.customer, name, request.model),
        ("", name, request.model),
    )
