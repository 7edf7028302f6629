"""Target specs of the fake targets."""

from carawaysail_bench.proof import fakes
from carawaysail_decisions import capacity


def make_spec(target: fakes.Target, is_leaving: bool) -> capacity.TargetSpec:
    """Return the spec that describes a fake target to the dispatcher."""
    task_capacity = capacity.Capacity(4.0)
    if target.kind == "worker":
        task_capacity = capacity.Capacity(4.0, 16_000.0, 1.0)
    services = frozenset({"pedidos"})
    return capacity.TargetSpec(
        target.name, target.kind, "", services, task_capacity, is_leaving
    )
