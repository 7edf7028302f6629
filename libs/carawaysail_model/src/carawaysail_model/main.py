"""Run a modelled site and print what was served.

Usage:
  model [--settings FILE] [--seed N]... [--fault NAME]... [--rate X] [--seconds S]
        [--policy KIND=NAME]... [--burst KIND=X]... [--sweep FIELD=LIST]
        [--plot FILE]
  model --list

Options:
  --settings FILE     JSON with comments; fields of the site that differ.
  --seed N            Seed; several are averaged [default: 1].
  --fault NAME        A fault; several come together.
  --rate X            Factor of the arrival rate [default: 1.0].
  --seconds S         Length of the traffic [default: 17].
  --policy KIND=NAME  Policy: order, choice or admission.
  --burst KIND=X      Factor of the rate of one kind of job.
  --sweep FIELD=LIST  Run each value of a field of the site, parted by commas; "rate"
                      is one, and so are the policies. One line each.
  --plot FILE         Write a PNG with the shares served, by seed or swept value.
  --list              Show faults and policies.
"""

import json
import sys
import typing

import docopt
import json5

from carawaysail_holding import job_admission, policies
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


def play(site: sites.Site, seed: int, args: dict[str, typing.Any]) -> dict[str, float]:
    """Run one seed; return the figures of its result."""
    world = sites.World(site, seed)
    world.rate_factor = float(args["--rate"])
    for row in args["--burst"]:
        name, _, factor = row.partition("=")
        world.kind_factors[name] = float(factor)
    for name in args["--fault"]:
        faults.apply(world, name)
    world.run(clock.milliseconds(1000.0 * float(args["--seconds"])))
    return typing.cast(dict[str, float], results.summarise(world))


def mean(rows: list[dict[str, float]]) -> dict[str, float]:
    """Return the mean of each figure."""
    return {name: sum(x[name] for x in rows) / len(rows) for name in rows[0]}


def swept(site: sites.Site, field: str, text: str) -> sites.Site:
    """Return a site with another value of a field.

    Raises
    ------
    errors.BadInputError
        If there is no such field, or it is no number or name.
    """
    known = getattr(site, field, None) if field in site._fields else None
    if not isinstance(known, int | float | str):
        accepted = ", ".join(
            x for x in site._fields if isinstance(getattr(site, x), int | float | str)
        )
        raise errors.BadInputError("--sweep", field, f"rate, {accepted}")
    try:
        change: dict[str, typing.Any] = {field: type(known)(text)}
        return site._replace(**change)
    except ValueError as exc:
        raise errors.BadInputError("--sweep", text, "a number") from exc


def sweep(
    site: sites.Site, args: dict[str, typing.Any]
) -> list[tuple[str, dict[str, float]]]:
    """Return the mean result of each value of the swept field."""
    field, _, values = args["--sweep"].partition("=")
    rows = []
    for value in values.split(","):
        own = dict(args)
        if field == "rate":
            own["--rate"] = value
            changed = site
        else:
            changed = swept(site, field, value)
        found = [play(changed, int(seed), own) for seed in args["--seed"]]
        rows.append((value, mean(found)))
    return rows


def plot(rows: list[tuple[str, dict[str, float]]], label: str, path: str) -> None:
    """Write bars of the shares served, refused and failed."""
    import matplotlib.pyplot

    figure, axes = matplotlib.pyplot.subplots()
    bottom = [0.0] * len(rows)
    names = [name for name, _ in rows]
    for share in ("in_time", "late", "refused", "failed"):
        values = [found[share] for _, found in rows]
        axes.bar(names, values, bottom=bottom, label=share)
        bottom = [x + y for x, y in zip(bottom, values, strict=True)]
    axes.set_xlabel(label)
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
        print("admission:", ", ".join(job_admission.admission_policies.names()))
        return 0
    try:
        site = load_site(args["--settings"], args["--policy"])
        if args["--sweep"]:
            rows = sweep(site, args)
        else:
            rows = [(x, play(site, int(x), args)) for x in args["--seed"]]
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
