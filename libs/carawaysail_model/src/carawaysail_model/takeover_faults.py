"""Faults around a takeover; their random values come from the simulation's seed.

Each affects a random data centre for a random time, so several of them overlap in other
ways with every seed. Importing this module adds them to ``faults.faults``.
"""

import datetime
import random

from carawaysail_model import faults, sites, workers
from carawaysail_types import clock, daemons

NAMES = (
    "holder_isolated", "holder_unheard", "holder_leaves", "holder_killed_after_start",
    "holder_suspended", "daemon_killed", "workers_late_to_next_holder",
    "worker_links_disturbed", "workers_unlisted", "reports_lapse", "gateway_suspended",
    "gateway_slow", "clients_leave", "calls_executed_late", "takeover_unseen",
    "handover_unseen",
)  # fmt: skip
"""The faults of this module."""

CLIENTS_LEAVE_SHARE = 0.7
"""Share of a daemon's clients that break their connections while it stands still."""

RETURN_DURATION = clock.milliseconds(2000)
"""Time in which lapsed reports of living workers are back in the store."""

READ_INTERVAL = clock.milliseconds(700)
"""Time in which a daemon that reads the reports has seen a change."""

GRACE = clock.milliseconds(2700)
"""Time from the request to shut down to the death of a daemon."""


def _between(
    draw: random.Random, least_ms: float, most_ms: float
) -> datetime.timedelta:
    return clock.milliseconds(draw.uniform(least_ms, most_ms))


def _data_centre(simulation: sites.Simulation) -> str:
    return simulation.data_centre(
        simulation.fault_random.randrange(simulation.site.places)
    )


def _live_vms(simulation: sites.Simulation) -> list[str]:
    return [vm for vm, node in simulation.all_nodes().items() if node.is_alive]


def _live_vm(simulation: sites.Simulation) -> str | None:
    """Return a random VM whose daemon is alive."""
    live = _live_vms(simulation)
    return simulation.fault_random.choice(live) if live else None


def _holder(simulation: sites.Simulation) -> str | None:
    """Return the VM of the holder of a random data centre, if it is alive."""
    vm = simulation.holder(_data_centre(simulation))
    return vm if vm in _live_vms(simulation) else None


def _workers_of(simulation: sites.Simulation, data_centre: str) -> list[workers.Worker]:
    return [
        x
        for x in simulation.all_workers().values()
        if x.report.data_centre == data_centre
    ]


def _kill(simulation: sites.Simulation, vm: str) -> None:
    """Kill a daemon unless it is dead; it restarts later."""
    if not simulation.all_nodes()[vm].is_alive:
        return
    simulation.kill(vm)

    def restart() -> None:
        simulation.start_node(vm, simulation.all_nodes()[vm].me.data_centre)

    delay = _between(simulation.fault_random, 300, 3000)
    simulation.engine.after(delay, restart)


@faults.faults.register("holder_isolated")
def _holder_isolated(simulation: sites.Simulation) -> None:
    """Cut a holder off from the other daemons, not from its workers and clients."""
    vm = _holder(simulation)
    if vm is not None:
        simulation.isolate(vm, _between(simulation.fault_random, 500, 5000))


@faults.faults.register("holder_unheard")
def _holder_unheard(simulation: sites.Simulation) -> None:
    """Lose what a holder sends to the other daemons; it goes on hearing them."""
    vm = _holder(simulation)
    if vm is not None:
        duration = _between(simulation.fault_random, 500, 3000)
        simulation.isolate(vm, duration, hears_others=True)


@faults.faults.register("holder_leaves")
def _holder_leaves(simulation: sites.Simulation) -> None:
    """Shut a holder down; it may be cut off from the other daemons just then."""
    vm = _holder(simulation)
    if vm is None:
        return
    draw = simulation.fault_random
    simulation.leave(vm)
    if draw.random() < 0.5:
        delay = _between(draw, 2, 50)
        duration = _between(draw, 500, 2500)
        simulation.engine.after(delay, lambda: simulation.isolate(vm, duration))
    simulation.engine.after(GRACE, lambda: _kill(simulation, vm))


@faults.faults.register("holder_killed_after_start")
def _holder_killed_after_start(simulation: sites.Simulation) -> None:
    """Kill a holder between an order that starts a run and its note to the gateway."""
    vm = _holder(simulation)
    if vm is not None:
        node = simulation.all_nodes()[vm]
        node.on_start_order = lambda: _kill(simulation, vm)


@faults.faults.register("holder_suspended")
def _holder_suspended(simulation: sites.Simulation) -> None:
    """Suspend a holder for about as long as it takes to replace it."""
    vm = _holder(simulation)
    if vm is not None:
        simulation.freeze(vm, _between(simulation.fault_random, 400, 2500))


@faults.faults.register("daemon_killed")
def _daemon_killed(simulation: sites.Simulation) -> None:
    """Kill a random daemon; it restarts later."""
    _kill(simulation, simulation.fault_random.choice(list(simulation.all_nodes())))


@faults.faults.register("workers_late_to_next_holder")
def _workers_late_to_next_holder(simulation: sites.Simulation) -> None:
    """Let workers answer the next holder late, and then fall silent to it."""
    _delay_workers_to_next_holder(simulation, _data_centre(simulation))


def _delay_workers_to_next_holder(
    simulation: sites.Simulation, data_centre: str
) -> None:
    draw = simulation.fault_random

    def disturb(holder: daemons.Holder) -> None:
        if holder.data_centre != data_centre:
            return
        simulation.store.on_claim.remove(disturb)
        now = simulation.engine.now()
        # The first worker that answers the next holder lets the former one know.
        held_until = now + _between(draw, 100, 1500)
        is_common = draw.random() < 0.6
        for worker in _workers_of(simulation, data_centre):
            if not is_common:
                held_until = now + _between(draw, 100, 1500)
            link = simulation.worker_link(holder.vm, worker.report.worker_id)
            link.requests.held_until = held_until
            if draw.random() < 0.3:
                continue
            silent_since = held_until + _between(draw, 1, 120)
            duration = _between(draw, 300, 3000)
            simulation.engine.at(
                silent_since,
                lambda link=link, end=silent_since + duration: _silence(
                    link, end, draw
                ),  # type: ignore[misc]
            )

    simulation.store.on_claim.append(disturb)


@faults.faults.register("takeover_unseen")
def _takeover_unseen(simulation: sites.Simulation) -> None:
    """Isolate a holder, whose workers answer the next one late and fall silent to it.

    The isolated one extends its leases meanwhile, and rejoins some time afterwards.
    """
    vm = _holder(simulation)
    if vm is not None:
        data_centre = simulation.all_nodes()[vm].me.data_centre
        _delay_workers_to_next_holder(simulation, data_centre)
        simulation.isolate(vm, _between(simulation.fault_random, 1200, 3500))


@faults.faults.register("handover_unseen")
def _handover_unseen(simulation: sites.Simulation) -> None:
    """Isolate a holder just after it has said that it leaves.

    Its workers answer the next holder late and fall silent to it, and gateways are cut
    off from the next holder for some time.
    """
    vm = _holder(simulation)
    if vm is None:
        return
    draw = simulation.fault_random
    data_centre = simulation.all_nodes()[vm].me.data_centre
    _delay_workers_to_next_holder(simulation, data_centre)

    def cut_gateways(holder: daemons.Holder) -> None:
        if holder.data_centre != data_centre:
            return
        simulation.store.on_claim.remove(cut_gateways)
        others = [x for x in simulation.all_nodes() if x not in (vm, holder.vm)]
        for other in others:
            if draw.random() < 0.7:
                simulation.cut_between(holder.vm, other, _between(draw, 300, 1100))

    simulation.store.on_claim.append(cut_gateways)
    simulation.leave(vm)
    duration = _between(draw, 500, 2500)
    simulation.engine.after(
        _between(draw, 2, 30), lambda: simulation.isolate(vm, duration)
    )
    simulation.engine.after(GRACE, lambda: _kill(simulation, vm))


def _silence(
    link: sites.links.Link, until: datetime.datetime, draw: random.Random
) -> None:
    """Cut one or both directions of a link."""
    directions = (
        (link.requests,), (link.responses,), (link.requests, link.responses)
    )  # fmt: skip
    for direction in draw.choice(directions):
        direction.cut_until = until


@faults.faults.register("worker_links_disturbed")
def _worker_links_disturbed(simulation: sites.Simulation) -> None:
    """Cut, hold up or slow down links between daemons and workers of a data centre."""
    draw, now = simulation.fault_random, simulation.engine.now()
    for worker in _workers_of(simulation, _data_centre(simulation)):
        for vm in simulation.all_nodes():
            if draw.random() < 0.5:
                continue
            link = simulation.worker_link(vm, worker.report.worker_id)
            until = now + _between(draw, 100, 2000)
            kind = draw.choice(("cut", "held", "slow"))
            direction = draw.choice((link.requests, link.responses))
            if kind == "cut":
                _silence(link, until, draw)
            elif kind == "held":
                direction.held_until = until
            else:
                direction.extra_delay = _between(draw, 5, 150)
                simulation.engine.at(
                    until,
                    lambda x=direction: setattr(x, "extra_delay", _NO_DELAY),  # type: ignore[misc]
                )


_NO_DELAY = datetime.timedelta()


def _unlist(
    simulation: sites.Simulation, worker_id: str, duration: datetime.timedelta
) -> None:
    """Let a worker's report be missing in the store for some time."""
    simulation.store.unlisted[worker_id] += 1

    def list_again() -> None:
        simulation.store.unlisted[worker_id] -= 1

    simulation.engine.after(duration, list_again)


@faults.faults.register("workers_unlisted")
def _workers_unlisted(simulation: sites.Simulation) -> None:
    """Cut workers off from the store alone, so that their reports lapse."""
    draw = simulation.fault_random
    for worker in _workers_of(simulation, _data_centre(simulation)):
        if draw.random() < 0.5:
            duration = _between(draw, 500, 4000)
            _unlist(simulation, worker.report.worker_id, duration)


@faults.faults.register("reports_lapse")
def _reports_lapse(simulation: sites.Simulation) -> None:
    """Take the store down; as it returns, reports are missing and come back."""
    draw = simulation.fault_random
    simulation.store.is_up = False

    def restore() -> None:
        simulation.store.is_up = True
        for worker_id in simulation.all_workers():
            _unlist(simulation, worker_id, RETURN_DURATION * draw.random())

    simulation.engine.after(_between(draw, 800, 4000), restore)


@faults.faults.register("entries_lost")
def _entries_lost(simulation: sites.Simulation) -> None:
    """Remove the entries of a data centre's daemons, and refuse new ones for a time.

    All their other calls are served.
    """
    draw, data_centre = simulation.fault_random, _data_centre(simulation)
    vms = [
        vm
        for vm, node in simulation.all_nodes().items()
        if node.me.data_centre == data_centre
    ]
    simulation.store.refused_vms.update(vms)
    for vm in vms:
        simulation.store.remove_entry(vm)
    duration = _between(draw, 500, 5000)
    simulation.engine.after(
        duration, lambda: simulation.store.refused_vms.subtract(vms)
    )


@faults.faults.register("stale_list_at_takeover")
def _stale_list_at_takeover(simulation: sites.Simulation) -> None:
    """Let the next holder of a data centre read a list from before workers joined.

    The holder has begun to use them when the data centre's daemons are killed.
    """
    draw, data_centre = simulation.fault_random, _data_centre(simulation)
    joining = [
        x.report.worker_id
        for x in _workers_of(simulation, data_centre)
        if draw.random() < 0.5
    ]
    simulation.store.unlisted.update(joining)
    nodes = simulation.all_nodes()
    local = [k for k, x in nodes.items() if x.me.data_centre == data_centre]

    def join() -> None:
        for vm, node in simulation.all_nodes().items():
            if vm not in local:
                node.stale_reports = node.read_reports(simulation.engine.now())
        simulation.store.unlisted.subtract(joining)

    def kill_all() -> None:
        for vm in local:
            _kill(simulation, vm)

    def await_start() -> None:
        for vm in local:
            simulation.all_nodes()[vm].on_start_order = kill_all

    simulation.engine.after(2 * READ_INTERVAL, join)
    simulation.engine.after(4 * READ_INTERVAL, await_start)


def _let_clients_leave(
    simulation: sites.Simulation, vm: str, within: datetime.timedelta
) -> None:
    """Let clients of a daemon break their connections within some time."""
    draw = simulation.fault_random
    for reply_id in simulation.waiting_clients(vm):
        if draw.random() < CLIENTS_LEAVE_SHARE:
            simulation.engine.after(
                within * draw.random(),
                lambda x=reply_id: simulation.leave_client(x),  # type: ignore[misc]
            )


@faults.faults.register("gateway_suspended")
def _gateway_suspended(simulation: sites.Simulation) -> None:
    """Suspend a daemon while its clients leave; a holder may be killed meanwhile."""
    draw, vm = simulation.fault_random, _live_vm(simulation)
    if vm is None:
        return
    duration = _between(draw, 600, 1500)
    simulation.freeze(vm, duration)
    _let_clients_leave(simulation, vm, duration)
    _kill_some_holder(simulation, vm, duration)


@faults.faults.register("gateway_slow")
def _gateway_slow(simulation: sites.Simulation) -> None:
    """Let a daemon handle messages late while clients leave and a holder is killed."""
    draw, vm = simulation.fault_random, _live_vm(simulation)
    if vm is None:
        return
    duration = _between(draw, 600, 3000)
    simulation.all_nodes()[vm].slow_down(duration, _between(draw, 100, 700))
    _let_clients_leave(simulation, vm, duration)
    _kill_some_holder(simulation, vm, duration)


def _kill_some_holder(
    simulation: sites.Simulation, other_than: str, within: datetime.timedelta
) -> None:
    draw = simulation.fault_random
    victim = _holder(simulation)
    if victim not in (None, other_than) and draw.random() < 0.6:
        simulation.engine.after(
            within * draw.random(), lambda: _kill(simulation, str(victim))
        )


@faults.faults.register("clients_leave")
def _clients_leave(simulation: sites.Simulation) -> None:
    """Let most clients of a daemon break their connections at about the same time."""
    vm = _live_vm(simulation)
    if vm is not None:
        _let_clients_leave(simulation, vm, clock.milliseconds(200))


@faults.faults.register("calls_executed_late")
def _calls_executed_late(simulation: sites.Simulation) -> None:
    """Let calls to the workers of a data centre get no answer, and be executed late."""
    draw, now = simulation.fault_random, simulation.engine.now()
    until = now + _between(draw, 500, 2500)
    for worker in _workers_of(simulation, _data_centre(simulation)):
        if draw.random() < 0.6:
            for vm in simulation.all_nodes():
                link = simulation.worker_link(vm, worker.report.worker_id)
                link.late_until = until
