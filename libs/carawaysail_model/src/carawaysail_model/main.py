"""Run a modelled site and print what was served.

Usage:
  model [--settings FILE] [--seed N]... [--fault NAME]... [--rate X] [--seconds S]
        [--policy KIND=NAME]... [--burst KIND=X]... [--plot FILE]
  model --list

Options:
  --settings FILE     JSON with comments; fields of the site that differ.
  --seed N            Seed; several are averaged [default: 1].
  --fault NAME        A fault; several come together.
  --rate X            Factor of the arrival rate [default: 1.0].
  --seconds S         Length of the traffic [default: 17].
  --policy KIND=NAME  Policy: order, choice or admission.
  --burst KIND=X      Factor of the rate of one kind of job.
  --plot FILE         Write a PNG with the shares served.
  --list              Show faults and policies.
"""

import json
import sys
import typing

import docopt
import json5

from carawaysail_holding import gateway, policies
from carawaysail_model import faults, results, sites
from carawaysail_types import clock, errors


def load_site(path: str | None, chosen: list[str]) -> sites.Site:
    """Return a site by a settings file and policies.

    Raises
    ------
    errors.BadInputError
        If a field is not known.
    """
    fields: dict[str, typing.Any] = {}
    if path:
        with open(path, encoding="utf-8") as file:
            fields = json5.load(file)
    if "kinds" in fields:
        fields["kinds"] = tuple(sites.Kind(**row) for row in fields["kinds"])
    for row in chosen:
        kind, _, name = row.partition("=")
        fields[kind] = name
    unknown = set(fields) - set(sites.Site._fields)
    if unknown:
        accepted = ", ".join(sites.Site._fields)
        raise errors.BadInputError("settings", sorted(unknown), accepted)
    return sites.Site(**fields)


def play(site: sites.Site, seed: int, args: dict[str, typing.Any]) -> results.Result:
    """Run one seed."""
    world = sites.World(site, seed)
    world.rate_factor = float(args["--rate"])
    for row in args["--burst"]:
        name, _, factor = row.partition("=")
        world.kind_factors[name] = float(factor)
    for name in args["--fault"]:
        faults.apply(world, name)
    world.run(clock.milliseconds(1000.0 * float(args["--seconds"])))
    return results.summarise(world)


def average(found: list[results.Result]) -> dict[str, float]:
    """Return the mean of each figure."""
    rows = [typing.cast(dict[str, float], x) for x in found]
    return {name: sum(x[name] for x in rows) / len(rows) for name in rows[0]}


def plot(found: list[results.Result], path: str) -> None:
    """Write bars of the shares served, refused and failed by seed."""
    import matplotlib.pyplot

    figure, axes = matplotlib.pyplot.subplots()
    bottom = [0.0] * len(found)
    for name in ("in_time", "late", "refused", "failed"):
        values = [float(typing.cast(dict[str, float], x)[name]) for x in found]
        axes.bar(range(len(found)), values, bottom=bottom, label=name)
        bottom = [x + y for x, y in zip(bottom, values, strict=True)]
    axes.set_xlabel("seed")
    axes.set_ylabel("share of jobs")
    axes.legend()
    figure.savefig(path)


def main(argv: list[str] | None = None) -> int:
    """Run the command; return the exit status."""
    args = docopt.docopt(__doc__, argv)
    if args["--list"]:
        print("faults:", ", ".join(faults.faults.names()))
        print("order:", ", ".join(policies.orders.names()))
        print("choice:", ", ".join(policies.choices.names()))
        print("admission:", ", ".join(gateway.admissions.names()))
        return 0
    try:
        site = load_site(args["--settings"], args["--policy"])
        found = [play(site, int(seed), args) for seed in args["--seed"]]
    except errors.CarawaysailError as exc:
        print(f"model: {exc}", file=sys.stderr)
        return 2
    print(json.dumps(average(found)))
    if args["--plot"]:
        plot(found, args["--plot"])
    return 1 if any(x["broken"] for x in found) else 0


if __name__ == "__main__":
    sys.exit(main())
