"""Plans of a soak: the size of the site, its traffic, and a series of faults.

A plan is drawn from a seed alone. Kinds of faults are registered with what a plan may
draw for them; how they are injected is in ``faults``.
"""

import collections.abc
import json
import pathlib
import random
import typing

import json5
import msgspec

from carawaysail_types import errors, registry

ROOT_SEED = "carawaysail-soak"
COINCIDENCES = "coincidences"
"""Layer of the faults that strike together."""

SERIES_GAP_S = 0.6
"""Mean time between two steps of one series, in seconds."""

COINCIDENCE_GAP_S = 0.25
"""Mean time between two faults that strike together, in seconds."""

FAULT_MARGIN_S = 2.0
"""Time by which a fault may outlast the time in which faults begin, in seconds."""


class Size(typing.NamedTuple):
    """Size of a site and its traffic.

    Parameters
    ----------
    data_centres, daemons, workers, clients : int
        Number of each; daemons and workers are spread over the data centres.
    jobs_per_s : float
        Rate at which all clients together send jobs.
    fault_s : float
        Time in which faults begin, in seconds.
    calm_s : float
        Time without faults at the end of the traffic, in seconds.
    series : int
        Number of series of faults.
    coincidences : int
        Number of times at which faults of the layer ``coincidences`` strike together.
    """

    data_centres: int
    daemons: int
    workers: int
    clients: int
    jobs_per_s: float
    fault_s: float
    calm_s: float
    series: int
    coincidences: int = 0


class Step(typing.NamedTuple):
    """One fault.

    Parameters
    ----------
    kind : str
        Registered name of its kind.
    at_s, for_s : float
        Begin, from the first traffic, and duration, in seconds.
    target : str
        What it is injected into; see the module ``targets``.
    parameters : dict of str to float
        Parameters of the kind.
    """

    kind: str
    at_s: float
    for_s: float
    target: str
    parameters: dict[str, float] = {}


class Plan(typing.NamedTuple):
    """What one run of the soak does.

    Parameters
    ----------
    seed : int
        Seed of the plan, the clients and the workers.
    size : Size
        Size of the site.
    steps : tuple of Step
        Faults in order of their begin.
    """

    seed: int
    size: Size
    steps: tuple[Step, ...]


class Kind(typing.NamedTuple):
    """A kind of fault.

    Parameters
    ----------
    play : callable
        Injects the fault into a site and returns when it has ended.
    layer : str
        ``links``, ``processes``, ``workers``, ``store`` or ``config``; ``coincidences``
        for one that is drawn only beside others of that layer.
    targets : tuple of str
        Registered names of the targets that a plan chooses from.
    for_s : tuple of (float, float)
        Range of the duration, in seconds.
    parameters : dict of str to (float, float)
        Range of each parameter.
    """

    play: collections.abc.Callable[
        [typing.Any, Step], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ]
    layer: str
    targets: tuple[str, ...]
    for_s: tuple[float, float]
    parameters: dict[str, tuple[float, float]]


Target = collections.abc.Callable[[random.Random, Size], str]

kinds: registry.Registry[Kind] = registry.Registry("kinds of faults")
targets: registry.Registry[Target] = registry.Registry("targets of faults")


def vm_names(size: Size) -> list[str]:
    """Return the names of all VMs."""
    return [f"vm-{n:02}" for n in range(size.daemons)]


def worker_ids(size: Size) -> list[str]:
    """Return the identifiers of all workers."""
    return [f"w-{n:03}" for n in range(size.workers)]


def data_centre_names(size: Size) -> list[str]:
    """Return the names of all data centres."""
    return [f"dc-{n}" for n in range(size.data_centres)]


def data_centre_of(name: str, size: Size) -> str:
    """Return the data centre of a VM or a worker."""
    return f"dc-{int(name.rpartition('-')[2]) % size.data_centres}"


@targets.register("vm")
def _vm(rng: random.Random, size: Size) -> str:
    return rng.choice(vm_names(size))


@targets.register("vms")
def _vms(rng: random.Random, size: Size) -> str:
    count = rng.randint(2, max(2, size.daemons // 2))
    return "+".join(sorted(rng.sample(vm_names(size), min(count, size.daemons))))


@targets.register("all")
def _all(rng: random.Random, size: Size) -> str:
    return "*"


@targets.register("holder")
def _holder(rng: random.Random, size: Size) -> str:
    return f"holder:{rng.choice(data_centre_names(size))}"


@targets.register("data_centre")
def _data_centre(rng: random.Random, size: Size) -> str:
    return f"in:{rng.choice(data_centre_names(size))}"


@targets.register("worker")
def _worker(rng: random.Random, size: Size) -> str:
    return rng.choice(worker_ids(size))


@targets.register("workers")
def _workers(rng: random.Random, size: Size) -> str:
    count = rng.randint(2, max(2, size.workers // 4))
    return "+".join(sorted(rng.sample(worker_ids(size), min(count, size.workers))))


@targets.register("peer_link")
def _peer_link(rng: random.Random, size: Size) -> str:
    return f"{_vm(rng, size)}>{rng.choice([_vm(rng, size), '*'])}"


@targets.register("holder_link")
def _holder_link(rng: random.Random, size: Size) -> str:
    holder = _holder(rng, size)
    return rng.choice([f"{holder}>vms", f"vms>{holder}"])


@targets.register("store_link")
def _store_link(rng: random.Random, size: Size) -> str:
    return f"{rng.choice([_vm(rng, size), _vms(rng, size), _holder(rng, size)])}>store"


@targets.register("worker_link")
def _worker_link(rng: random.Random, size: Size) -> str:
    return f"vms>{rng.choice([_worker(rng, size), _workers(rng, size)])}"


@targets.register("client_link")
def _client_link(rng: random.Random, size: Size) -> str:
    return f"clients>{_vm(rng, size)}"


@targets.register("site")
def _site(rng: random.Random, size: Size) -> str:
    return "site"


def draw(seed: int, size: Size) -> Plan:
    """Draw a plan; the same seed and size give the same plan.

    Faults come in series: after the first step of a series the next ones follow soon,
    often while it lasts. The kinds of a series come from all layers.
    """
    rng = random.Random(f"{ROOT_SEED}:{seed}")
    layers: dict[str, list[str]] = {}
    for name in kinds.names():
        layers.setdefault(kinds.get(name).layer, []).append(name)
    steps = _draw_coincidences(seed, size, layers.pop(COINCIDENCES))
    for _ in range(size.series):
        at_s = rng.uniform(0.0, size.fault_s)
        for _ in range(rng.randint(1, 4)):
            name = rng.choice(layers[rng.choice(sorted(layers))])
            steps.append(_draw_step(rng, size, name, min(at_s, size.fault_s)))
            at_s += rng.expovariate(1.0 / SERIES_GAP_S)
    return Plan(seed, size, tuple(sorted(steps, key=lambda x: x.at_s)))


def _draw_coincidences(seed: int, size: Size, names: list[str]) -> list[Step]:
    """Draw faults that strike one to three at a time.

    They have random numbers of their own, so that the series of a seed stay the same.
    """
    rng = random.Random(f"{ROOT_SEED}:{COINCIDENCES}:{seed}")
    steps = []
    for number in range(size.coincidences):
        at_s = size.fault_s * (number + rng.random()) / size.coincidences
        for _ in range(rng.randint(1, 3)):
            name = rng.choice(names)
            steps.append(_draw_step(rng, size, name, min(at_s, size.fault_s)))
            at_s += rng.expovariate(1.0 / COINCIDENCE_GAP_S)
    return steps


def _draw_step(rng: random.Random, size: Size, name: str, at_s: float) -> Step:
    kind = kinds.get(name)
    target = targets.get(rng.choice(kind.targets))(rng, size)
    for_s = min(rng.uniform(*kind.for_s), size.fault_s + FAULT_MARGIN_S - at_s)
    parameters = {
        key: round(rng.uniform(*kind.parameters[key]), 3)
        for key in sorted(kind.parameters)
    }
    return Step(name, round(at_s, 3), round(max(for_s, 0.1), 3), target, parameters)


def write(path: pathlib.Path, plan: Plan) -> None:
    """Write a plan to a JSON file."""
    row = {
        "seed": plan.seed,
        "size": plan.size._asdict(),
        "steps": [x._asdict() for x in plan.steps],
    }
    path.write_text(json.dumps(row, indent=1) + "\n")


def read(path: pathlib.Path) -> Plan:
    """Read a plan from a JSON file, which may have comments.

    Raises
    ------
    errors.BadInputError
        If the file cannot be read or is not a plan.
    errors.UnknownNameError
        If the kind of a step is not registered.
    """
    try:
        row = json5.loads(path.read_text(encoding="utf-8"))
        size = msgspec.convert(list(Size(**row["size"])), Size, strict=False)
        steps = tuple(
            msgspec.convert(list(Step(**x)), Step, strict=False) for x in row["steps"]
        )
        plan = Plan(int(row["seed"]), size, steps)
    except (OSError, msgspec.MsgspecError, TypeError, KeyError, ValueError) as exc:
        raise errors.BadInputError(
            str(path), repr(exc), "a plan as JSON with comments"
        ) from exc
    for step in plan.steps:
        kinds.get(step.kind)
    return plan
