"""Run the fault matrix and print its table.

Usage:
  matrix [--pairs] [--jobs N] [--out FILE]
  matrix --cell TEXT
  matrix (-h | --help)

Options:
  --pairs      Run pairs of faults instead of single faults.
  --jobs N     Number of processes that run cells in parallel [default: 4].
  --out FILE   Write the verdicts as JSON.
  --cell TEXT  Run one cell, as step:fault:kind or step:fault+fault:kind.
  -h --help    Show this text.

A cell is red if its history violates a rule. Exit 1 if any red cell is not listed in
KNOWN-RED.txt.
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
    """Return the cell that ``step:fault:kind`` or ``step:fault+fault:kind`` names."""
    step, names, kind = text.split(":")
    return fault_matrix.Cell(step, tuple(names.split("+")), kind)


def is_known(cell: fault_matrix.Cell) -> bool:
    """Return whether KNOWN-RED.txt lists a cell."""
    if not KNOWN_RED.exists():
        return False
    return cell.text() in KNOWN_RED.read_text(encoding="utf-8")


def table(verdicts: list[fault_matrix.Verdict]) -> str:
    """Return a table with a row per fault, a column per step, a mark per work kind."""
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
    """Return why cells do not apply, each reason with its number of cells."""
    counts: dict[str, int] = {}
    for verdict in verdicts:
        if verdict.state == "not_applicable":
            counts[verdict.reason] = counts.get(verdict.reason, 0) + 1
    return "\n".join(
        f"not applicable, {n} cells: {reason}" for reason, n in counts.items()
    )


def run_all(
    cells: list[fault_matrix.Cell], process_count: int
) -> list[fault_matrix.Verdict]:
    """Run cells in parallel processes and return their verdicts, in order."""
    with multiprocessing.Pool(process_count) as pool:
        return pool.map(fault_matrix.run_cell, cells, chunksize=8)


def report(verdicts: list[fault_matrix.Verdict]) -> int:
    """Print violations and totals; return the exit status.

    It is 1 if a red cell is not listed in KNOWN-RED.txt, else 0.
    """
    unlisted = 0
    for verdict in verdicts:
        if verdict.state == "red":
            known = is_known(verdict.cell)
            unlisted += not known
            print(f"{'known red' if known else 'RED'} {verdict.cell.text()}")
            for violation in verdict.violations:
                print(violation.text())
    print(json.dumps(fault_matrix.totals(verdicts)))
    return 1 if unlisted else 0


def main() -> None:
    """Run the cells that the arguments select."""
    args = docopt.docopt(__doc__)
    if args["--cell"]:
        sys.exit(report([fault_matrix.run_cell(parse_cell(args["--cell"]))]))
    cells = fault_matrix.pair_cells() if args["--pairs"] else fault_matrix.all_cells()
    verdicts = run_all(cells, int(args["--jobs"]))
    if not args["--pairs"]:
        print(table(verdicts))
    print(f"{len(faults.faults.names())} faults, {len(fault_matrix.STEPS)} steps")
    print(reasons(verdicts))
    if args["--out"]:
        rows = [(v.cell.text(), v.state, v.reason, v.events) for v in verdicts]
        pathlib.Path(args["--out"]).write_text(json.dumps(rows), encoding="utf-8")
    sys.exit(report(verdicts))


if __name__ == "__main__":
    main()
