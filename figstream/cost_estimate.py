"""Estimates of what a request will cost before its length is known.

Output lengths are unknown at dispatch. They are estimated from what the same
customer, class and model produced before, charged, and settled at the end.
"""

import collections
from typing import Final

from figstream import scheduler_api

# Unit of cost.
PROMPT_TOKEN_COST: Final = 1.0
# Decoding a token takes a slot about twice as long as reading one.
OUTPUT_TOKEN_COST: Final = 2.0
# Tokens taken for a class that was never seen.
_DEFAULT_OUTPUT_TOKENS: Final = 128.0
# Weight of the newest answer; ten answers make most of the mean.
_SMOOTHING: Final = 0.1
# Means kept: customers times classes times models in use.
_MAX_ENTRIES: Final = 8192

_Key = tuple[str, str, str]


class OutputEstimates:
    """Expected output tokens by customer, class and model; bounded."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._means: collections.OrderedDict[_Key, float] = (
            collections.OrderedDict()
        )

    def expected(self, request: scheduler_api.PendingRequest) -> float:
        """Returns the output tokens a request is expected to take."""
        if request.service:
            return 0.0
        own, shared = _keys(request)
        mean = self._means.get(own)
        if mean is None:
            mean = self._means.get(shared, _DEFAULT_OUTPUT_TOKENS)
        if request.max_output_tokens:
            return min(mean, float(request.max_output_tokens))
        return mean

    def observe(
        self, request: scheduler_api.PendingRequest, output_tokens: int
    ) -> None:
        """Takes note of the output of a request that was answered whole."""
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
    """Returns the cost of work done; each request costs at least one unit."""
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
