"""Small sites with random sequences of faults around takeovers, one for each seed."""

import collections
import collections.abc
import concurrent.futures
import functools
import typing

from carawaysail_model import faults, history, sites, takeover_faults
from carawaysail_types import clock

SITE = sites.Site(
    places=2, daemons=4, workers=6, factors=(1.0, 0.8, 1.3),
    kinds=(
        sites.Kind("check", 4.0, 3, 300.0, 0, 0.03),
        sites.Kind("confirm", 3.0, 2, 900.0, 2, 0.16),
    ),
    patience_ms=4000.0, attempts=3, clock_drift=0.02,
)  # fmt: skip

FAULTS_BEGIN = sites.START_UP_TIME + clock.milliseconds(800)
"""Holders are at least as old as it takes to replace a silent one by then."""

FAULTS_DURATION = clock.milliseconds(5000)
DURATION = clock.milliseconds(7500)

MIN_FAULTS = 3
MAX_FAULTS = 8


class Sequence(typing.NamedTuple):
    """A sequence of faults that was played.

    Parameters
    ----------
    seed : int
        Its seed.
    faults : tuple of (float, str)
        When each fault began, in milliseconds from the start, and its name.
    simulation : sites.Simulation
        The simulation.
    """

    seed: int
    faults: tuple[tuple[float, str], ...]
    simulation: sites.Simulation


def play(
    seed: int, keeps_timelines: bool = False, names: tuple[str, ...] = ()
) -> Sequence:
    """Play the sequence of a seed.

    Parameters
    ----------
    seed : int
        Seed of the site and of the sequence.
    keeps_timelines : bool
        Whether the history keeps the timelines of jobs, workers and data centres.
    names : tuple of str
        Names of the faults to draw from; by default those of ``takeover_faults``.
    """
    simulation = sites.Simulation(SITE, seed)
    if keeps_timelines:
        simulation.history.timelines = collections.defaultdict(list)
    draw = simulation.fault_random
    played = []
    for _ in range(draw.randint(MIN_FAULTS, MAX_FAULTS)):
        after = FAULTS_BEGIN + FAULTS_DURATION * draw.random()
        name = draw.choice(names or takeover_faults.NAMES)
        faults.apply(simulation, name, after)
        played.append((round(clock.to_milliseconds(after)), name))
    simulation.run(DURATION)
    return Sequence(seed, tuple(sorted(played)), simulation)


class Finding(typing.NamedTuple):
    """What a seed has shown.

    Parameters
    ----------
    seed : int
        The seed.
    starts : int
        Number of runs that were started.
    violations : tuple of history.Violation
        Violated invariants.
    """

    seed: int
    starts: int
    violations: tuple[history.Violation, ...]


def find(seed: int, names: tuple[str, ...] = ()) -> Finding:
    """Play the sequence of a seed and return what it has shown."""
    played = play(seed, names=names).simulation.history
    return Finding(seed, played.starts, tuple(played.violations))


def search(
    seeds: collections.abc.Iterable[int],
    names: tuple[str, ...] = (),
    processes: int = 1,
) -> collections.abc.Iterator[Finding]:
    """Play the sequences of seeds, in order; yield what each has shown.

    Parameters
    ----------
    seeds : iterable of int
        The seeds.
    names : tuple of str
        Names of the faults to draw from; by default those of ``takeover_faults``.
    processes : int
        Number of processes that play them.
    """
    find_named = functools.partial(find, names=names)
    if processes == 1:
        yield from map(find_named, seeds)
        return
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        yield from pool.map(find_named, seeds, chunksize=8)


def describe(sequence: Sequence) -> list[str]:
    """Return lines that show each violation and the timeline of its job."""
    simulation = sequence.simulation
    started_at = simulation.engine.started_at

    def ms(entry: history.Entry | history.Violation) -> int:
        return round(clock.to_milliseconds(entry.at - started_at))

    lines = [f"seed {sequence.seed}"]
    lines.extend(f"  {at} fault {name}" for at, name in sequence.faults)
    subjects = [f"dc-{x}" for x in range(simulation.site.places)]
    for violation in simulation.history.violations:
        lines.append(f"  {ms(violation)} VIOLATED {violation[:2]}")
        subjects.append(violation.subject.split(".")[0])
    timelines = simulation.history.timelines or {}
    entries = [
        (subject, entry)
        for subject in dict.fromkeys(subjects)
        for entry in timelines.get(subject, ())
    ]
    for subject, entry in sorted(entries, key=lambda x: x[1].at):
        fields = " ".join(f"{k}={v}" for k, v in entry.fields.items())
        lines.append(f"  {ms(entry)} {entry.where} {subject} {entry.name} {fields}")
    return lines
