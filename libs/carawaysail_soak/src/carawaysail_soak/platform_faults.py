"""Kinds of faults of the workers, the config and the store."""

import asyncio
import collections.abc
import contextlib
import signal
import typing

from carawaysail_platform_standins import odd_entries, store, store_faults
from carawaysail_soak import faults, plan, site, targets

# Workers

WORKER_TARGETS = ("worker", "workers")
_WORKER_FAULTS: dict[str, tuple[float, float]] = {
    "crash": (0.0, 3.0),
    "crash_unlisted": (0.0, 2.0),
    "crash_listed": (0.0, 2.0),
    "crash_acknowledged": (0.0, 2.0),
    "vanish": (0.0, 0.0),
    "drain": (2.0, 4.0),
    "fail": (0.0, 0.0),
    "stall": (0.0, 0.0),
    "slow": (2.0, 10.0),
    "late_orders": (2.0, 5.0),
    "lose_answers": (0.2, 0.9),
    "reorder_answers": (0.05, 0.8),
    "silence": (0.0, 0.0),
}
"""Faults of the workers' stand-ins, each with the range of its amount."""


def _register_worker_fault(name: str, amount: tuple[float, float]) -> None:
    @faults.kind(f"worker_{name}", "workers", WORKER_TARGETS, (0.5, 6.0), amount=amount)
    async def _play(where: site.Site, step: plan.Step) -> None:
        for worker_id in targets.workers(where, step.target):
            await asyncio.to_thread(
                where.fleet.inject, worker_id, name, step.parameters["amount"]
            )
        await asyncio.sleep(step.for_s)
        for worker_id in targets.workers(where, step.target):
            await asyncio.to_thread(where.fleet.heal, worker_id)


for _name, _amount in _WORKER_FAULTS.items():
    _register_worker_fault(_name, _amount)


# Config


@faults.kind(
    "reload", "config", ("vm", "vms", "all"), lease_ms=(700, 1000), has_signal=(0, 1)
)
async def _reload(where: site.Site, step: plan.Step) -> None:
    """Change the settings files, with or without a SIGHUP."""
    where.bounds["max_hold_ms"] = int(step.parameters["lease_ms"])
    for vm in targets.vms(where, step.target):
        where.write_settings(vm)
        if step.parameters["has_signal"] > 0.5:
            where.processes[vm].signal(signal.SIGHUP)


@faults.kind("change_queues", "config", ("site",), (0.5, 5.0), count=(1, 4))
async def _change_queues(where: site.Site, step: plan.Step) -> None:
    """Add queues, and remove them at the end."""
    added = _queue_names(step, int(step.parameters["count"]))
    where.extra_queues += added
    where.configure()
    await asyncio.sleep(step.for_s)
    where.extra_queues = [x for x in where.extra_queues if x not in added]
    where.configure()


@faults.kind("config_storm", "config", ("site",), count=(3, 20), gap_s=(0.0, 0.2))
async def _config_storm(where: site.Site, step: plan.Step) -> None:
    """Write many versions in quick succession, each with one more or one less queue."""
    names = _queue_names(step, 3)
    for number in range(int(step.parameters["count"])):
        name = names[number % len(names)]
        if name in where.extra_queues:
            where.extra_queues.remove(name)
        else:
            where.extra_queues.append(name)
        where.configure()
        await asyncio.sleep(step.parameters["gap_s"])


@faults.kind("big_config", "config", ("site",), (1.0, 4.0), count=(100, 500))
async def _big_config(where: site.Site, step: plan.Step) -> None:
    """Let the config grow by many queues for some time."""
    await _change_queues(where, step)


def _queue_names(step: plan.Step, count: int) -> list[str]:
    return [f"/x{int(step.at_s * 1000)}-{n}/" for n in range(count)]


# Store

REFUSALS = ("unavailable", "limited", "reset", "silent")


@contextlib.contextmanager
def _changed(
    store_state: typing.Any, **fields: object
) -> collections.abc.Iterator[None]:
    """Set fields of the store's faults; restore those of a store without faults."""
    for name, value in fields.items():
        setattr(store_state, name, value)
    try:
        yield
    finally:
        for name in fields:
            setattr(store_state, name, getattr(store_faults.Faults(), name))


@faults.kind("store_down", "store", ("site",), (0.3, 6.0), refusal=(0, 3.99))
async def _store_down(where: site.Site, step: plan.Step) -> None:
    """Let the store refuse all calls."""
    refusal = REFUSALS[int(step.parameters["refusal"])]
    with _changed(where.store.faults, is_down=True, refusal=refusal):
        await asyncio.sleep(step.for_s)


@faults.kind(
    "store_refuses", "store", ("vm", "vms", "holder"), (0.3, 6.0), refusal=(0, 3.99)
)
async def _store_refuses(where: site.Site, step: plan.Step) -> None:
    """Let the store refuse the calls of some daemons."""
    refused = {where.reader(x) for x in targets.vms(where, step.target)}
    where.store.faults.refusal = REFUSALS[int(step.parameters["refusal"])]
    where.store.faults.refused_addresses |= refused
    await asyncio.sleep(step.for_s)
    where.store.faults.refused_addresses -= refused


@faults.kind(
    "store_limits", plan.COINCIDENCES, ("all", "vms", "data_centre"), (1.0, 6.0),
    call_interval_s=(0.1, 0.5),
)  # fmt: skip
async def _store_limits(where: site.Site, step: plan.Step) -> None:
    """Let the store serve few calls of some daemons, whatever these ask for."""
    limited = {where.reader(x) for x in targets.vms(where, step.target)}
    where.store.faults.call_interval_s = step.parameters["call_interval_s"]
    where.store.faults.limited_addresses |= limited
    await asyncio.sleep(step.for_s)
    where.store.faults.limited_addresses -= limited


@faults.kind("store_slow", "store", ("site",), (0.3, 6.0), delay_s=(0.05, 0.9))
async def _store_slow(where: site.Site, step: plan.Step) -> None:
    """Let the store carry calls out late."""
    with _changed(where.store.faults, delay_s=step.parameters["delay_s"]):
        await asyncio.sleep(step.for_s)


@faults.kind("store_loses_answers", "store", ("site",), (0.3, 3.0))
async def _store_loses_answers(where: site.Site, step: plan.Step) -> None:
    """Carry writes out without an answer."""
    with _changed(where.store.faults, lose_writes=True):
        await asyncio.sleep(step.for_s)


@faults.kind("forget_history", "store", ("site",))
async def _forget_history(where: site.Site, step: plan.Step) -> None:
    """Drop the store's history."""
    where.store.forget_history()


@faults.kind("revoke", "store", ("vm", "vms", "holder"))
async def _revoke(where: site.Site, step: plan.Step) -> None:
    """End the leases of daemons in the store."""
    for vm in targets.vms(where, step.target):
        where.store.revoke_keys(vm)


@faults.kind("entries_lapse", plan.COINCIDENCES, ("workers",), (0.5, 2.0))
async def _entries_lapse(where: site.Site, step: plan.Step) -> None:
    """Remove the entries of living workers for a while, as after a store's outage."""
    keys = {store.REPORTS_PREFIX + x for x in targets.workers(where, step.target)}
    where.store.faults.lapsed_keys |= keys
    for key in keys:
        where.store.delete(key)
    await asyncio.sleep(step.for_s)
    where.store.faults.lapsed_keys -= keys


ODD_PREFIXES = ("servers/", "carawaysail/daemon/", "carawaysail/holder/")


@faults.kind("odd_entries", "store", ("site",), (1.0, 8.0))
async def _odd_entries(where: site.Site, step: plan.Step) -> None:
    """Write entries that cannot be read, and remove them at the end."""
    keys = [
        odd_entries.write(where.store, prefix, name)
        for prefix in ODD_PREFIXES
        for name in odd_entries.odd_values.names()
    ]
    await asyncio.sleep(step.for_s)
    for key in keys:
        where.store.delete(key)
