"""Play a randomized soak of the real daemons and check what it shows.

Usage:
  soak [--seed N | --seeds RANGE | --plan FILE] [--size NAME] [--settings FILE]
       [--out DIR] [--keep] [--shrink] [--log FILE]
  soak --list

Options:
  --seed N         Play the plan of a seed [default: 1].
  --seeds RANGE    Play the plans of several seeds, such as 1-20, one after the other.
  --plan FILE      Play a plan from a JSON file.
  --size NAME      Size of the site: small, usual or large [default: usual].
  --settings FILE  JSON with comments; fields that differ from the defaults.
  --out DIR        Directory for plan, events and logs of each seed that failed
                   [default: target/soak].
  --keep           Keep the files of plans that pass as well.
  --shrink         Cut a plan that fails down to the steps that it needs to fail.
  --log FILE       Append the soak's own log to a file instead of standard error.
  --list           List the kinds of faults and the checks.

The result is one line of JSON a plan. The exit status is 1 if a check failed.
"""

import asyncio
import collections
import json
import logging
import pathlib
import shutil
import sys
import tempfile
import typing

import docopt

from carawaysail_runtime import logs
from carawaysail_soak import checks, history, plan, player, settings
from carawaysail_types import clock, errors

MAX_REPORTED = 20
"""Violations in a result, for each plan."""


class Result(typing.TypedDict):
    """Result of one plan.

    ``counts`` are numbers of events by type, ``violation_counts`` of violations by
    rule, ``reported_counts`` of those that are only reported; ``folder`` holds plan,
    events and logs of a plan that failed.
    """

    seed: int
    passed: bool
    seconds: float
    steps: int
    counts: dict[str, int]
    violations: list[dict[str, typing.Any]]
    violation_counts: dict[str, int]
    reported_counts: dict[str, int]
    folder: str


def play(
    what: plan.Plan, cfg: settings.Settings, out: pathlib.Path, keep: bool = False
) -> Result:
    """Play a plan, check its history, and keep the files if a check failed."""
    stopwatch = clock.SystemClock()
    kept = out / str(what.seed)
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        folder = pathlib.Path(name)
        plan.write(folder / "plan.json", what)
        is_kept = True
        try:
            events = asyncio.run(player.play(what, folder, cfg))
            history.write(folder / "events.jsonl", events)
            found = checks.judge(events, _bounds(cfg))
            violations = [x for x in found if x.rule not in cfg.reported_only]
            is_kept = keep or bool(violations)
        finally:
            if is_kept:
                shutil.rmtree(kept, ignore_errors=True)
                shutil.copytree(folder, kept)
    return Result(
        seed=what.seed,
        passed=not violations,
        seconds=round(stopwatch.seconds(), 1),
        steps=len(what.steps),
        counts=_count(type(x).__name__ for x in events.events),
        violations=[x._asdict() for x in violations[:MAX_REPORTED]],
        violation_counts=_count(x.rule for x in violations),
        reported_counts=_count(x.rule for x in found if x.rule in cfg.reported_only),
        folder=str(kept) if is_kept else "",
    )


def _count(names: typing.Iterable[str]) -> dict[str, int]:
    return dict(collections.Counter(names))


def _bounds(cfg: settings.Settings) -> checks.Bounds:
    """Return the bounds of the checks: those of the daemons, defaults for others."""
    fields: dict[str, typing.Any] = {
        k: v for k, v in cfg.bounds.items() if k in checks.Bounds._fields
    }
    return checks.Bounds(**fields)


def shrink(what: plan.Plan, cfg: settings.Settings, out: pathlib.Path) -> plan.Plan:
    """Return the plan without the steps that it does not need to fail."""
    for step in reversed(what.steps):
        shorter = what._replace(steps=tuple(x for x in what.steps if x != step))
        passed = play(shorter, cfg, out)["passed"]
        logs.log_event(
            "soak", "Step dropped.", kind=step.kind, at_s=step.at_s, passed=passed
        )
        if not passed:
            what = shorter
    return what


def _plans(
    args: dict[str, typing.Any], cfg: settings.Settings
) -> typing.Iterator[plan.Plan]:
    if args["--plan"]:
        yield plan.read(pathlib.Path(args["--plan"]))
        return
    if args["--size"] not in cfg.sizes:
        raise errors.BadInputError("--size", args["--size"], ", ".join(cfg.sizes))
    text = args["--seeds"] or args["--seed"]
    first, _, last = text.partition("-")
    try:
        seeds = range(int(first), int(last or first) + 1)
    except ValueError as exc:
        raise errors.BadInputError("--seeds", text, "numbers such as 1-20") from exc
    for seed in seeds:
        yield plan.draw(seed, cfg.sizes[args["--size"]])


def main(argv: list[str] | None = None) -> int:
    """Run the command; return the exit status.

    Returns
    -------
    int
        0, 1 if a check failed, or 2 if the arguments are not valid.
    """
    args = docopt.docopt(__doc__, argv)
    if args["--list"]:
        print("faults:", ", ".join(plan.kinds.names()))
        print("checks:", ", ".join(checks.names()))
        return 0
    logs.open_log(args["--log"] or "")
    for name in ("asyncio", "aiohttp.server"):
        # They report each connection that a fault breaks.
        logging.getLogger(name).setLevel(logging.CRITICAL)
    out = pathlib.Path(args["--out"])
    passed = True
    try:
        cfg = settings.load(args["--settings"])
        for what in _plans(args, cfg):
            for step in what.steps:
                logs.log_event("soak", "Step.", **step._asdict())
            result = play(what, cfg, out, args["--keep"])
            print(json.dumps(result), flush=True)
            passed = passed and result["passed"]
            if args["--shrink"] and not result["passed"]:
                shorter = shrink(what, cfg, out / "shrunk")
                plan.write(pathlib.Path(result["folder"]) / "shrunk.json", shorter)
    except errors.CarawaysailError as exc:
        print(f"soak: {exc}", file=sys.stderr)
        return 2
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
