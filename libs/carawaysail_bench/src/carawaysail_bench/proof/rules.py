"""The promises as rules over a history, each registered under its name."""

import collections
import collections.abc
import datetime
import typing

from carawaysail_bench.proof import history
from carawaysail_types import outcomes, registry

LEAVING_BOUND = datetime.timedelta(seconds=5)
IN_FORCE_BOUND = datetime.timedelta(seconds=6)

Breaks = collections.abc.Iterator[history.Break]
Rule = collections.abc.Callable[[history.History], Breaks]

rules: registry.Registry[Rule] = registry.Registry("rules")


def check(events: history.History) -> list[history.Break]:
    """Return every break of every rule."""
    return [found for _, rule in rules.items() for found in rule(events)]


def _of(events: history.History, submission: str) -> tuple[history.Event, ...]:
    named = (history.Attempted, history.Started, history.Answered, history.Broken)
    return tuple(
        event
        for event in events
        if isinstance(event, named) and event.submission == submission
    )


def _attempts(events: history.History) -> dict[str, history.Attempted]:
    found: dict[str, history.Attempted] = {}
    for event in events:
        if isinstance(event, history.Attempted):
            found.setdefault(event.submission, event)
    return found


@rules.register("starts_once")
def starts_once(events: history.History) -> Breaks:
    """Check that no task starts twice, but those of idempotent requests."""
    attempts = _attempts(events)
    counts: collections.Counter[tuple[str, int]] = collections.Counter()
    for event in events:
        if isinstance(event, history.Started):
            counts[event.submission, event.position] += 1
    for (submission, position), count in counts.items():
        known = attempts.get(submission)
        if count > 1 and not (known and known.may_repeat):
            what = f"task {position} of {submission} started {count} times"
            yield history.Break("starts_once", what, _of(events, submission))


@rules.register("whole_and_own_answer")
def whole_and_own_answer(events: history.History) -> Breaks:
    """Check that a completed submission has every task's own answer, in order."""
    attempts = _attempts(events)
    for event in events:
        if not isinstance(event, history.Answered):
            continue
        if isinstance(event.outcome, outcomes.Completed):
            expected = attempts[event.submission].payloads
            if event.outcome.answers != expected:
                what = f"{event.submission} was answered {event.outcome.answers!r}"
                trace = _of(events, event.submission)
                yield history.Break("whole_and_own_answer", what, trace)


@rules.register("not_run_is_true")
def not_run_is_true(events: history.History) -> Breaks:
    """Check that what was answered ``not run`` never ran, before or after."""
    started = {e.submission for e in events if isinstance(e, history.Started)}
    for event in events:
        if not isinstance(event, history.Answered):
            continue
        is_not_run = isinstance(event.outcome, outcomes.NotRun)
        if is_not_run and event.submission in started:
            what = f"{event.submission} was answered not run, and ran"
            trace = _of(events, event.submission)
            yield history.Break("not_run_is_true", what, trace)


@rules.register("completed_ran")
def completed_ran(events: history.History) -> Breaks:
    """Check that every task of what was answered ``completed`` was started."""
    started = {
        (e.submission, e.position) for e in events if isinstance(e, history.Started)
    }
    for event in events:
        if not isinstance(event, history.Answered):
            continue
        if not isinstance(event.outcome, outcomes.Completed):
            continue
        count = len(event.outcome.answers)
        if any((event.submission, n) not in started for n in range(count)):
            what = f"{event.submission} was answered completed, and did not run"
            yield history.Break("completed_ran", what, _of(events, event.submission))


@rules.register("same_truth")
def same_truth(events: history.History) -> Breaks:
    """Check that all copies of a submission get one final outcome, or ``unknown``."""
    found: dict[str, set[str]] = {}
    for event in events:
        if not isinstance(event, history.Answered):
            continue
        if not isinstance(event.outcome, outcomes.Unknown):
            found.setdefault(event.submission, set()).add(event.outcome.tag)
    for submission, tags in found.items():
        if len(tags) > 1:
            what = f"{submission} was answered {sorted(tags)}"
            yield history.Break("same_truth", what, _of(events, submission))


@rules.register("leaving_gets_nothing_new")
def leaving_gets_nothing_new(events: history.History) -> Breaks:
    """Check that a leaving target is sent nothing new after the bound."""
    left: dict[str, history.Left] = {}
    for event in events:
        if isinstance(event, history.Left):
            left.setdefault(event.target, event)
        elif isinstance(event, history.Started) and event.target in left:
            since = left[event.target]
            if event.sent_at - since.at > LEAVING_BOUND:
                what = f"{event.target} was sent work after it began to leave"
                yield history.Break("leaving_gets_nothing_new", what, (since, event))


@rules.register("graceful_end_cuts_nothing")
def graceful_end_cuts_nothing(events: history.History) -> Breaks:
    """Check that a daemon that ends gracefully answers all that it was sent."""
    for event in events:
        if isinstance(event, history.Broken) and event.was_graceful:
            what = f"copy {event.copy} of {event.submission} was cut off at {event.vm}"
            trace = _of(events, event.submission)
            yield history.Break("graceful_end_cuts_nothing", what, trace)


@rules.register("settings_never_revert")
def settings_never_revert(events: history.History) -> Breaks:
    """Check that no daemon goes back to an older revision of a section."""
    held: dict[tuple[str, str], history.InForce] = {}
    for event in events:
        if isinstance(event, history.InForce):
            key = (event.daemon, event.section)
            before = held.get(key)
            if before is not None and event.revision <= before.revision:
                what = f"{event.daemon} went from {before.revision} to {event.revision}"
                yield history.Break("settings_never_revert", what, (before, event))
            held[key] = event


@rules.register("settings_reach_all")
def settings_reach_all(events: history.History) -> Breaks:
    """Check that the newest accepted settings are held once all faults are healed."""
    newest: dict[str, history.Accepted] = {}
    for event in events:
        if isinstance(event, history.Accepted):
            newest[event.section] = event
    for event in events:
        if isinstance(event, history.Ended):
            yield from _behind(event, newest)


def _behind(event: history.Ended, newest: dict[str, history.Accepted]) -> Breaks:
    for daemon, revisions in event.holders.items():
        for section, accepted in newest.items():
            if revisions.get(section, 0) < accepted.revision:
                what = f"{daemon} lacks revision {accepted.revision} of {section}"
                yield history.Break("settings_reach_all", what, (accepted, event))


def summary(events: typing.Iterable[history.Event]) -> dict[str, int]:
    """Return how many events of each kind a history holds."""
    return dict(collections.Counter(type(event).__name__ for event in events))
