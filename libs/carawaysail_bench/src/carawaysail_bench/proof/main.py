"""Run the fault matrix and print its table.

Usage:
  matrix [--pairs] [--jobs N] [--out FILE]
  matrix --cell TEXT
  matrix (-h | --help)

Options:
  --pairs      Pairs of faults instead of single ones.
  --jobs N     Processes to spread the cells over [default: 4].
  --out FILE   Write the verdicts as JSON.
  --cell TEXT  Run one cell, as step:fault:kind or step:fault+fault:kind.
  -h --help    Show this text.

Exit 1 on any red cell that KNOWN-RED.txt does not hold.
"""

import json
import multiprocessing
import pathlib
import sys

import docopt

from carawaysail_bench.proof import fault_matrix, faults

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
MARKS = {"passed": ".", "red": "R", "not_applicable": "-"}


def parse_cell(text: str) -> fault_matrix.Cell:
    """Return the cell that a text names."""
    step, names, kind = text.split(":")
    return fault_matrix.Cell(step, tuple(names.split("+")), kind)


def is_known(cell: fault_matrix.Cell) -> bool:
    """Tell whether KNOWN-RED.txt holds a cell."""
    if not KNOWN_RED.exists():
        return False
    return cell.text() in KNOWN_RED.read_text(encoding="utf-8")


def table(verdicts: list[fault_matrix.Verdict]) -> str:
    """Return the table: a row a fault, a column a step, a mark a kind of work."""
    rows: dict[str, dict[str, str]] = {}
    for verdict in verdicts:
        name = "+".join(verdict.cell.faults)
        row = rows.setdefault(name, {})
        step = verdict.cell.step
        row[step] = row.get(step, "") + MARKS[verdict.state]
    width = max(len(name) for name in rows)
    heads = " ".join(f"{step[:9]:>9}" for step in fault_matrix.STEPS)
    lines = [f"{'':{width}} {heads}"]
    for name, row in rows.items():
        marks = " ".join(f"{row.get(step, ''):>9}" for step in fault_matrix.STEPS)
        lines.append(f"{name:{width}} {marks}")
    return "\n".join(lines)


def reasons(verdicts: list[fault_matrix.Verdict]) -> str:
    """Return why cells do not apply, with how many."""
    counts: dict[str, int] = {}
    for verdict in verdicts:
        if verdict.state == "not_applicable":
            counts[verdict.why] = counts.get(verdict.why, 0) + 1
    return "\n".join(f"not applicable, {n} cells: {why}" for why, n in counts.items())


def run_all(chosen: list[fault_matrix.Cell], jobs: int) -> list[fault_matrix.Verdict]:
    """Return the verdicts of many cells."""
    with multiprocessing.Pool(jobs) as pool:
        return pool.map(fault_matrix.run, chosen, chunksize=8)


def report(verdicts: list[fault_matrix.Verdict]) -> int:
    """Print breaks and counts; return the exit code."""
    unknown = 0
    for verdict in verdicts:
        if verdict.state == "red":
            known = is_known(verdict.cell)
            unknown += not known
            print(f"{'known red' if known else 'RED'} {verdict.cell.text()}")
            for found in verdict.breaks:
                print(found.text())
    print(json.dumps(fault_matrix.totals(verdicts)))
    return 1 if unknown else 0


def main() -> None:
    """Run what the arguments name."""
    args = docopt.docopt(__doc__)
    if args["--cell"]:
        sys.exit(report([fault_matrix.run(parse_cell(args["--cell"]))]))
    chosen = fault_matrix.pair_cells() if args["--pairs"] else fault_matrix.all_cells()
    verdicts = run_all(chosen, int(args["--jobs"]))
    if not args["--pairs"]:
        print(table(verdicts))
    print(f"{len(faults.faults.names())} faults, {len(fault_matrix.STEPS)} steps")
    print(reasons(verdicts))
    if args["--out"]:
        rows = [(v.cell.text(), v.state, v.why, v.events) for v in verdicts]
        pathlib.Path(args["--out"]).write_text(json.dumps(rows), encoding="utf-8")
    sys.exit(report(verdicts))


if __name__ == "__main__":
    main()
