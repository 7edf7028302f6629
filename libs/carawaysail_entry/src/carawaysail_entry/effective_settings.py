"""Effective settings of one entry daemon, derived from the tree of settings."""

import datetime
import typing

from carawaysail_decisions import capacity, events, quotas
from carawaysail_settings import inheritance, tree
from carawaysail_types import clock


class ServiceSettings(typing.NamedTuple):
    """Settings of a service and kind of job, as the HTTP front end needs them.

    Parameters
    ----------
    service_settings : events.ServiceDispatchSettings
        Settings that the coordinator uses.
    deadline : datetime.timedelta
        Time until the deadline of a submission whose caller gives none.
    idempotent : bool
        Whether a task that may have started may be started again.
    max_payload_bytes : int
        Largest payload of a task, in bytes.
    """

    service_settings: events.ServiceDispatchSettings
    deadline: datetime.timedelta
    idempotent: bool
    max_payload_bytes: int


class EffectiveSettings(typing.NamedTuple):
    """Settings in force at one entry daemon.

    Parameters
    ----------
    cfg : tree.Tree
        The whole tree of settings.
    specs : tuple of capacity.TargetSpec
        Targets of this data centre.
    dispatch_settings : events.DispatchSettings
        Policies and limits of the dispatcher.
    allocations : dict of str to int
        This daemon's allocation of each team's quota, in tasks.
    deduplication_window : datetime.timedelta
        How long a resubmission of the same identifier is recognised.
    trace_ratio : float
        Share of traces that are recorded, 0 to 1, when the caller sends no context.
    """

    cfg: tree.Tree
    specs: tuple[capacity.TargetSpec, ...]
    dispatch_settings: events.DispatchSettings
    allocations: dict[str, int]
    deduplication_window: datetime.timedelta
    trace_ratio: float

    def service(self, name: str, kind: str) -> ServiceSettings:
        """Return the settings of a service for one kind of job.

        Parameters
        ----------
        name : str
            Name of the service.
        kind : str
            Kind of job; ``request`` for single requests.

        Raises
        ------
        carawaysail_settings.errors.NoSuchPathError
            If the tree has no such service.
        """
        return _service(self.cfg, name, kind)


def derive(cfg: tree.Tree, vm: str, data_centre: str) -> EffectiveSettings:
    """Derive the effective settings of one daemon.

    Parameters
    ----------
    cfg : tree.Tree
        A checked tree of settings.
    vm : str
        Name of the daemon's VM.
    data_centre : str
        Its data centre.
    """
    minutes = inheritance.integer(cfg, "", "remember_minutes")
    return EffectiveSettings(
        cfg,
        target_specs(cfg, data_centre),
        _dispatch_settings(cfg),
        _allocations(cfg, vm),
        datetime.timedelta(minutes=minutes),
        inheritance.number(cfg, "", "trace_ratio"),
    )


def target_specs(cfg: tree.Tree, data_centre: str) -> tuple[capacity.TargetSpec, ...]:
    """Return the targets of one data centre; empty if the tree does not list it."""
    racks = cfg.get("places", {}).get(data_centre, {}).get("racks", {})
    found = []
    for rack_name, rack in racks.items():
        for name, target in rack.get("targets", {}).items():
            path = f"places/{data_centre}/racks/{rack_name}/targets/{name}"
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


def _dispatch_settings(cfg: tree.Tree) -> events.DispatchSettings:
    return events.DispatchSettings(
        routing=str(inheritance.value(cfg, "", "routing")),
        queue=str(inheritance.value(cfg, "", "queue")),
        admission=str(inheritance.value(cfg, "", "admission")),
        long_share=inheritance.number(cfg, "", "long_share"),
        batch_ms=inheritance.number(cfg, "", "batch_ms"),
        batch_tasks=inheritance.integer(cfg, "", "batch_tasks"),
    )


def _allocations(cfg: tree.Tree, vm: str) -> dict[str, int]:
    data_centres = cfg.get("places", {}).values()
    members = tuple(sorted(x for each in data_centres for x in each.get("entries", {})))
    found = {}
    for team in cfg.get("teams", {}):
        quota = inheritance.integer(cfg, f"teams/{team}", "max_running")
        found[team] = quotas.allocation_of(quota, members, vm)
    return found


def _service(cfg: tree.Tree, name: str, kind: str) -> ServiceSettings:
    path = inheritance.service_path(cfg, name, kind)
    service_settings = events.ServiceDispatchSettings(
        team=path.split("/")[1],
        weight=inheritance.number(cfg, path, "weight"),
        max_queued=inheritance.integer(cfg, path, "max_queued"),
        max_attempts=inheritance.integer(cfg, path, "max_attempts"),
        retry_ratio=inheritance.number(cfg, path, "retry_ratio"),
        short_ms=inheritance.number(cfg, path, "short_ms"),
    )
    return ServiceSettings(
        service_settings,
        clock.milliseconds(inheritance.integer(cfg, path, "deadline_ms")),
        inheritance.flag(cfg, path, "idempotent"),
        inheritance.integer(cfg, path, "max_payload_bytes"),
    )
