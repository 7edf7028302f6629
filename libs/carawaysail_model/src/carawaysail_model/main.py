"""Simulate a site and print how its jobs were served.

Usage:
  model [--settings FILE] [--seed N]... [--fault NAME]... [--rate X] [--seconds S]
        [--policy KIND=NAME]... [--burst KIND=X]... [--sweep FIELD=LIST]
        [--plot FILE] [--sizes]
        [--takeovers] [--seeds RANGE] [--processes N] [--timelines]
  model --list

Options:
  --settings FILE     JSON with comments; fields of the site that differ from the
                      default.
  --seed N            Seed; results of several seeds are averaged [default: 1].
  --fault NAME        Fault; several may be combined.
  --rate X            Factor of all arrival rates [default: 1.0].
  --seconds S         Duration of the arrivals, in seconds [default: 17].
  --policy KIND=NAME  Policy: order, choice or admission.
  --burst KIND=X      Factor of the arrival rate of one kind of job.
  --sweep FIELD=LIST  Run each value of a field of the site, separated by commas, and
                      print one line for each; "rate" and the policies are fields too.
  --plot FILE         Write a PNG of the shares of jobs, by seed or swept value.
  --sizes             Print a line for each kind and size class of jobs instead.
  --takeovers         Play random sequences of faults around takeovers on a small site,
                      and print a line for each seed that violates an invariant; drawn
                      from the given faults only, if there are any.
  --seeds RANGE       Seeds of takeovers, as FIRST-LAST, instead of --seed.
  --processes N       Number of processes that play takeovers [default: 1].
  --timelines         Print what happened to the jobs of the violations as well.
  --list              List faults and policies.
"""

import collections
import collections.abc
import json
import sys
import typing

import docopt
import json5

from carawaysail_holding import job_admission, policies
from carawaysail_model import faults, results, sites, sizes, takeovers
from carawaysail_types import clock, errors


def load_site(path: str | None, policy_args: list[str]) -> sites.Site:
    """Return a site with the values of a settings file and the chosen policies.

    Parameters
    ----------
    path : str or None
        JSON file with comments; ``None`` for the default site.
    policy_args : list of str
        Policies as ``KIND=NAME``; they replace those of the file.

    Raises
    ------
    errors.BadInputError
        If the site has no such field.
    """
    fields: dict[str, typing.Any] = {}
    if path:
        with open(path, encoding="utf-8") as file:
            fields = json5.load(file)
    if "kinds" in fields:
        fields["kinds"] = tuple(sites.Kind(**row) for row in fields["kinds"])
    for arg in policy_args:
        kind, _, name = arg.partition("=")
        fields[kind] = name
    unknown = set(fields) - set(sites.Site._fields)
    if unknown:
        accepted = ", ".join(sites.Site._fields)
        raise errors.BadInputError("settings", sorted(unknown), accepted)
    return sites.Site(**fields)


def simulate(
    site: sites.Site, seed: int, args: dict[str, typing.Any]
) -> sites.Simulation:
    """Simulate a site with one seed and the parsed arguments."""
    simulation = sites.Simulation(site, seed)
    simulation.rate_factor = float(args["--rate"])
    for arg in args["--burst"]:
        name, _, factor = arg.partition("=")
        simulation.kind_factors[name] = float(factor)
    for name in args["--fault"]:
        faults.apply(simulation, name)
    simulation.run(clock.milliseconds(1000.0 * float(args["--seconds"])))
    return simulation


def run_seed(
    site: sites.Site, seed: int, args: dict[str, typing.Any]
) -> dict[str, float]:
    """Simulate a site with one seed and the parsed arguments; return its result."""
    simulation = simulate(site, seed, args)
    return typing.cast(dict[str, float], results.summarise(simulation))


def size_rows(site: sites.Site, args: dict[str, typing.Any]) -> list[sizes.SizeRow]:
    """Return how the jobs of all seeds were served, by kind and size class."""
    served = [
        job for seed in args["--seed"] for job in simulate(site, int(seed), args).served
    ]
    return sizes.by_size(served)


def mean(rows: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each field over several results."""
    return {name: sum(x[name] for x in rows) / len(rows) for name in rows[0]}


def with_value(site: sites.Site, field: str, value: str) -> sites.Site:
    """Return the site with another value of a field, given as text.

    Raises
    ------
    errors.BadInputError
        If the site has no such field with a number or a name, or the text is not a
        number.
    """
    current = getattr(site, field, None) if field in site._fields else None
    if not isinstance(current, int | float | str):
        accepted = ", ".join(
            x for x in site._fields if isinstance(getattr(site, x), int | float | str)
        )
        raise errors.BadInputError("--sweep", field, f"rate, {accepted}")
    try:
        change: dict[str, typing.Any] = {field: type(current)(value)}
        return site._replace(**change)
    except ValueError as exc:
        raise errors.BadInputError("--sweep", value, "a number") from exc


def sweep(
    site: sites.Site, args: dict[str, typing.Any]
) -> list[tuple[str, dict[str, float]]]:
    """Return each value of the swept field with its mean result over the seeds."""
    field, _, values = args["--sweep"].partition("=")
    rows = []
    for value in values.split(","):
        run_args = dict(args)
        if field == "rate":
            run_args["--rate"] = value
            changed = site
        else:
            changed = with_value(site, field, value)
        results_by_seed = [
            run_seed(changed, int(seed), run_args) for seed in args["--seed"]
        ]
        rows.append((value, mean(results_by_seed)))
    return rows


def plot(rows: list[tuple[str, dict[str, float]]], label: str, path: str) -> None:
    """Write a PNG with a bar for each row: jobs in time, late, refused and failed."""
    import matplotlib.pyplot

    figure, axes = matplotlib.pyplot.subplots()
    bottom = [0.0] * len(rows)
    names = [name for name, _ in rows]
    for share in ("in_time", "late", "refused", "failed"):
        values = [result[share] for _, result in rows]
        axes.bar(names, values, bottom=bottom, label=share)
        bottom = [x + y for x, y in zip(bottom, values, strict=True)]
    axes.set_xlabel(label)
    axes.set_ylabel("share of jobs")
    axes.legend()
    figure.savefig(path)


def play_takeovers(args: dict[str, typing.Any]) -> int:
    """Play sequences of faults around takeovers; return the number of broken seeds.

    Raises
    ------
    errors.BadInputError
        If the range of seeds is not valid.
    """
    seeds: collections.abc.Iterable[int] = [int(x) for x in args["--seed"]]
    if args["--seeds"]:
        first, _, last = args["--seeds"].partition("-")
        try:
            seeds = range(int(first), int(last) + 1)
        except ValueError as exc:
            raise errors.BadInputError("--seeds", args["--seeds"], "1-500") from exc
    names = tuple(args["--fault"])
    for name in names:
        faults.faults.get(name)
    broken = played = 0
    for finding in takeovers.search(seeds, names, int(args["--processes"])):
        played += 1
        if not finding.violations:
            continue
        broken += 1
        counts = collections.Counter(x.invariant for x in finding.violations)
        print(json.dumps({"seed": finding.seed, **counts}), flush=True)
        if args["--timelines"]:
            print(
                "\n".join(takeovers.describe(takeovers.play(finding.seed, True, names)))
            )
    print(json.dumps({"played": played, "broken": broken}))
    return broken


def main(argv: list[str] | None = None) -> int:
    """Run the command; return the exit status.

    Returns
    -------
    int
        0, 1 if an invariant was violated, or 2 if the arguments are not valid.
    """
    args = docopt.docopt(__doc__, argv)
    if args["--list"]:
        print("faults:", ", ".join(faults.faults.names()))
        print("order:", ", ".join(policies.job_order_policies.names()))
        print("choice:", ", ".join(policies.worker_choice_policies.names()))
        print("admission:", ", ".join(job_admission.admission_policies.names()))
        return 0
    try:
        if args["--takeovers"]:
            return 1 if play_takeovers(args) else 0
        site = load_site(args["--settings"], args["--policy"])
        if args["--sizes"]:
            for size_row in size_rows(site, args):
                print(json.dumps(size_row))
            return 0
        if args["--sweep"]:
            rows = sweep(site, args)
        else:
            rows = [(x, run_seed(site, int(x), args)) for x in args["--seed"]]
    except errors.CarawaysailError as exc:
        print(f"model: {exc}", file=sys.stderr)
        return 2
    if args["--sweep"]:
        for value, row in rows:
            print(json.dumps({"value": value, **row}))
    else:
        print(json.dumps(mean([row for _, row in rows])))
    if args["--plot"]:
        label = (args["--sweep"] or "seed").partition("=")[0]
        plot(rows, label, args["--plot"])
    return 1 if any(row["broken"] for _, row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
