"""Tests that quarantined and leaving servers receive no requests."""

from figstream import backend_server
from figstream import blame
from figstream import clock
from figstream import configuration
from figstream import configuration_holder
from figstream import metrics
from figstream import request_class
from figstream import scheduler
from figstream import scheduler_api
from figstream import server_health

_CLASS = request_class.RequestClass("chat", tier=0)


def _make() -> tuple[server_health.ServerHealth, scheduler_api.Scheduler]:
    time = clock.ManualClock()
    holder = configuration_holder.ConfigurationHolder(time)
    scheduling = scheduler.make_scheduler("zone-a", seed=1)
    holder.subscribe(scheduling.set_configuration)
    servers = tuple(
        backend_server.BackendServer(
            name, "http://127.0.0.1:9", "zone-a", models=("m",)
        )
        for name in ("leaving", "broken", "sound")
    )
    holder.replace(
        configuration.Configuration(1, classes=(_CLASS,), servers=servers)
    )
    health = server_health.ServerHealth(
        scheduling,
        holder,
        blame.make_crash_blame(),
        time,
        metrics.make_unexported_metrics(),
    )
    return health, scheduling


def _servers_used(scheduling: scheduler_api.Scheduler) -> set[str]:
    for number in range(12):
        request = scheduler_api.PendingRequest(
            str(number), "studio", _CLASS, 0.0, 60.0, model="m"
        )
        assert scheduling.offer(request, 0.0) is None
    return {
        decision.server.name
        for decision in scheduling.poll(0.0)
        if isinstance(decision, scheduler_api.Dispatched)
    }


def test_leaving_and_unreachable_servers_are_both_left_out() -> None:
    """Fails if one of the two sets replaces the other in the scheduler."""
    health, scheduling = _make()
    health.set_leaving(frozenset({"leaving"}))
    health.unreachable("broken")
    health.set_leaving(frozenset({"leaving"}))
    assert _servers_used(scheduling) == {"sound"}
