"""Factories for the test objects shared by the scheduler tests."""

import itertools

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import request_class as request_class_lib
from figstream import scheduler
from figstream import scheduler_api

_ids = itertools.count()
ANSWERED = scheduler_api.AttemptReport(
    scheduler_api.AttemptResult.ANSWERED, 20, 0, 0.1, 1.0
)


def make_class(
    tier: int,
    *,
    preemptible: bool = False,
    queue_limit: int = 500,
    deadline_s: float = 60.0,
    first_token_s: float = 0.0,
) -> request_class_lib.RequestClass:
    """Creates a class named after its tier."""
    return request_class_lib.RequestClass(
        f"class{tier}",
        tier=tier,
        preemptible=preemptible,
        queue_limit=queue_limit,
        service_level=request_class_lib.ServiceLevel(
            first_token_s=first_token_s, deadline_s=deadline_s
        ),
    )


def make_server(
    name: str, *, slots: int = 2, zone: str = "a", reclaimable: bool = False
) -> backend_server.BackendServer:
    """Creates an engine for the model "m"."""
    return backend_server.BackendServer(
        name,
        "http://127.0.0.1",
        zone,
        models=("m",),
        slots=slots,
        reclaimable=reclaimable,
    )


def make_request(
    request_class: request_class_lib.RequestClass,
    customer: str = "one",
    now: float = 0.0,
    **fields: object,
) -> scheduler_api.PendingRequest:
    """Creates a request for the model "m"."""
    return scheduler_api.PendingRequest(
        request_id=f"r{next(_ids)}",
        customer=customer,
        request_class=request_class,
        arrived=now,
        deadline=now + request_class.service_level.deadline_s,
        model="m",
        prompt_tokens=10,
        **fields,  # type: ignore[arg-type]
    )


def make_scheduler(
    *servers: backend_server.BackendServer,
    customers: tuple[customer_lib.Customer, ...] = (),
) -> scheduler_api.Scheduler:
    """Creates a scheduler in zone "a" for the given servers."""
    made = scheduler.make_scheduler("a", seed=1)
    made.set_configuration(
        configuration_lib.Configuration(servers=servers, customers=customers)
    )
    return made


def dispatched(
    decisions: list[scheduler_api.Decision],
) -> list[scheduler_api.Dispatched]:
    """Returns the dispatches among the decisions."""
    return [
        item for item in decisions if isinstance(item, scheduler_api.Dispatched)
    ]
