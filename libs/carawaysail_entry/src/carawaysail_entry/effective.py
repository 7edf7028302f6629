"""What follows from the tree of settings for one entry daemon."""

import datetime
import typing

from carawaysail_decisions import capacity, events, quotas
from carawaysail_settings import inheritance, tree
from carawaysail_types import clock


class Service(typing.NamedTuple):
    """Settings of a service and kind of job, as the front end needs them.

    Parameters
    ----------
    limits : events.Limits
        What decisions need.
    deadline : datetime.timedelta
        Time to answer, where the caller gives none.
    idempotent : bool
        Whether a task that may have started may start again.
    max_payload_bytes : int
        Largest payload of a task.
    """

    limits: events.Limits
    deadline: datetime.timedelta
    idempotent: bool
    max_payload_bytes: int


class Effective(typing.NamedTuple):
    """Settings in force at one entry daemon.

    Parameters
    ----------
    cfg : tree.Tree
        The whole tree.
    specs : tuple of capacity.TargetSpec
        Targets of this data centre.
    rules : events.Rules
        Policies and shares.
    parts : dict of str to int
        This daemon's part of each team's quota.
    remember : datetime.timedelta
        How long resubmissions are recognised.
    trace_ratio : float
        Share of the traces recorded when the caller sends none.
    """

    cfg: tree.Tree
    specs: tuple[capacity.TargetSpec, ...]
    rules: events.Rules
    parts: dict[str, int]
    remember: datetime.timedelta
    trace_ratio: float

    def service(self, name: str, kind: str) -> Service:
        """Return the settings of a service and kind of job.

        Raises
        ------
        carawaysail_settings.errors.NoSuchPathError
            If the tree has no such service.
        """
        return _service(self.cfg, name, kind)


def derive(cfg: tree.Tree, vm: str, data_centre: str) -> Effective:
    """Return what follows from a tree.

    Parameters
    ----------
    cfg : tree.Tree
        A checked tree.
    vm, data_centre : str
        The daemon and where it is.
    """
    minutes = inheritance.integer(cfg, "", "remember_minutes")
    return Effective(
        cfg,
        target_specs(cfg, data_centre),
        _rules(cfg),
        _parts(cfg, vm),
        datetime.timedelta(minutes=minutes),
        inheritance.number(cfg, "", "trace_ratio"),
    )


def target_specs(cfg: tree.Tree, place: str) -> tuple[capacity.TargetSpec, ...]:
    """Return the targets of one data centre."""
    racks = cfg.get("places", {}).get(place, {}).get("racks", {})
    found = []
    for rack_name, rack in racks.items():
        for name, target in rack.get("targets", {}).items():
            path = f"places/{place}/racks/{rack_name}/targets/{name}"
            found.append(_spec(cfg, path, name, target))
    return tuple(found)


def _spec(
    cfg: tree.Tree, path: str, name: str, target: tree.Target
) -> capacity.TargetSpec:
    kind = target.get("kind", "runner")
    return capacity.TargetSpec(
        name,
        kind,
        target.get("url", ""),
        frozenset(target.get("services", ())),
        _capacity(cfg, path, kind),
        inheritance.flag(cfg, path, "leaving"),
        clock.milliseconds(inheritance.integer(cfg, path, "lease_ms")),
        clock.milliseconds(inheritance.integer(cfg, path, "connect_ms")),
        inheritance.integer(cfg, path, "connections"),
    )


def _capacity(cfg: tree.Tree, path: str, kind: str) -> capacity.Capacity:
    if kind == "runner":
        return capacity.Capacity(float(inheritance.integer(cfg, path, "slots")))
    return capacity.Capacity(
        inheritance.number(cfg, path, "processors"),
        inheritance.number(cfg, path, "memory_mb"),
        inheritance.number(cfg, path, "accelerators"),
    )


def _rules(cfg: tree.Tree) -> events.Rules:
    return events.Rules(
        routing=str(inheritance.value(cfg, "", "routing")),
        queue=str(inheritance.value(cfg, "", "queue")),
        admission=str(inheritance.value(cfg, "", "admission")),
        long_share=inheritance.number(cfg, "", "long_share"),
        batch_ms=inheritance.number(cfg, "", "batch_ms"),
        batch_tasks=inheritance.integer(cfg, "", "batch_tasks"),
    )


def _parts(cfg: tree.Tree, vm: str) -> dict[str, int]:
    places = cfg.get("places", {}).values()
    members = tuple(sorted(x for place in places for x in place.get("entries", {})))
    found = {}
    for team in cfg.get("teams", {}):
        quota = inheritance.integer(cfg, f"teams/{team}", "max_running")
        found[team] = quotas.allocation_of(quota, members, vm)
    return found


def _service(cfg: tree.Tree, name: str, kind: str) -> Service:
    path = inheritance.service_path(cfg, name, kind)
    limits = events.Limits(
        team=path.split("/")[1],
        weight=inheritance.number(cfg, path, "weight"),
        max_queued=inheritance.integer(cfg, path, "max_queued"),
        max_attempts=inheritance.integer(cfg, path, "max_attempts"),
        retry_ratio=inheritance.number(cfg, path, "retry_ratio"),
        short_ms=inheritance.number(cfg, path, "short_ms"),
    )
    return Service(
        limits,
        clock.milliseconds(inheritance.integer(cfg, path, "deadline_ms")),
        inheritance.flag(cfg, path, "idempotent"),
        inheritance.integer(cfg, path, "max_payload_bytes"),
    )
