"""Measure carawaysail on this machine, over loopback.

Usage:
  measure [FIGURE...] [--out FILE] [--plot FILE]
  measure --list
  measure (-h | --help)

Options:
  --out FILE   Write the rows as JSON.
  --plot FILE  Plot the rows that have a bound; needs matplotlib.
  --list       List the names of the figures.
  -h --help    Show this text.
"""

import json
import pathlib
import sys

import docopt

from carawaysail_bench.measure import (
    control_figures,
    figures,
    load_figures,
    scaling_figures,
)
from carawaysail_types import errors

FIGURE_MODULES = (scaling_figures, load_figures, control_figures)
"""Modules whose import fills the registry of figures."""


def render(rows: list[figures.Row]) -> str:
    """Return rows as a text table, one line per row."""
    width = max(len(row.figure) for row in rows)
    lines = []
    for row in rows:
        mark = {True: "reached", False: "MISSED", None: ""}[row.holds]
        value = f"{row.value:10.3f} {row.unit:<12}"
        lines.append(f"{row.figure:{width}} {value} {row.target:<14} {mark}".rstrip())
    return "\n".join(lines)


def plot(rows: list[figures.Row], path: str) -> None:
    """Plot the ratio of value to bound of each row that has a bound."""
    import matplotlib.pyplot

    bounded = [row for row in rows if row.target]
    bounds = [float(row.target.split()[-1]) for row in bounded]
    ratios = [x.value / b if b else 0.0 for x, b in zip(bounded, bounds, strict=True)]
    colours = ["tab:green" if row.holds else "tab:red" for row in bounded]
    figure, axes = matplotlib.pyplot.subplots(figsize=(9, 0.35 * len(bounded) + 1))
    axes.barh([row.figure for row in bounded], ratios, color=colours)
    axes.axvline(1.0, color="black")
    axes.set_xlabel("value over bound")
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Run the figures that the arguments name, or all of them."""
    args = docopt.docopt(__doc__)
    if args["--list"]:
        print("\n".join(figures.figures.names()))
        return
    rows: list[figures.Row] = []
    try:
        for name in args["FIGURE"] or [name for name, _ in figures.figures.items()]:
            found = figures.figures.get(name)()
            print(render(found), flush=True)
            rows += found
    except errors.UnknownNameError as exc:
        sys.exit(f"measure: {exc}")
    if args["--out"]:
        value = [row._asdict() for row in rows]
        pathlib.Path(args["--out"]).write_text(json.dumps(value, indent=1))
    if args["--plot"]:
        plot(rows, args["--plot"])


if __name__ == "__main__":
    main()
