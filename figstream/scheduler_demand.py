"""Counts the running and waiting requests of a daemon by model and class.

The scheduler returns these counts as the daemon's demand.
"""

import collections
from collections.abc import Iterable

from figstream import request_class as request_class_lib
from figstream import running_requests
from figstream import scheduler_api
from figstream import waiting_queues

_Key = tuple[str, str]


def summarize(
    queues: waiting_queues.WaitingQueues,
    running: running_requests.RunningRequests,
) -> Iterable[scheduler_api.ClassDemand]:
    """Returns the demand for each model by class."""
    classes: dict[str, request_class_lib.RequestClass] = {}
    waits: collections.Counter[_Key] = collections.Counter()
    runs: collections.Counter[_Key] = collections.Counter()
    for queue in queues.nonempty():
        classes[queue.request_class.name] = queue.request_class
        waits[(queue.target.model, queue.request_class.name)] += len(queue)
    for item in running.all():
        known_class = item.request.request_class
        classes[known_class.name] = known_class
        runs[(item.request.model, known_class.name)] += 1
    return [
        scheduler_api.ClassDemand(
            model, classes[name], runs[(model, name)], waits[(model, name)]
        )
        for model, name in sorted({*waits, *runs})
        if model
    ]
