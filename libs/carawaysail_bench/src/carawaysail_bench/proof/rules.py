"""Rules that every history must satisfy, each registered under its name."""

import collections
import collections.abc
import datetime
import typing

from carawaysail_bench.proof import history
from carawaysail_types import outcomes, registry

MAX_LEAVING_DELAY = datetime.timedelta(seconds=5)
"""Time after which a target that began to leave must be sent no work."""

MAX_IN_FORCE_DELAY = datetime.timedelta(seconds=6)

Violations = collections.abc.Iterator[history.Violation]
Rule = collections.abc.Callable[[history.History], Violations]

rules: registry.Registry[Rule] = registry.Registry("rules")


def check(events: history.History) -> list[history.Violation]:
    """Return the violations of all rules."""
    return [violation for _, rule in rules.items() for violation in rule(events)]


def _events_of(events: history.History, submission: str) -> tuple[history.Event, ...]:
    """Return the events of one submission, in order."""
    event_types = (
        history.CopySent,
        history.TaskStarted,
        history.CopyAnswered,
        history.CopyUnanswered,
    )
    return tuple(
        event
        for event in events
        if isinstance(event, event_types) and event.submission == submission
    )


def _first_copies(events: history.History) -> dict[str, history.CopySent]:
    """Return the first copy of each submission, by its identifier."""
    found: dict[str, history.CopySent] = {}
    for event in events:
        if isinstance(event, history.CopySent):
            found.setdefault(event.submission, event)
    return found


@rules.register("starts_once")
def starts_once(events: history.History) -> Violations:
    """Check that no task starts twice, except those of idempotent requests."""
    first_copies = _first_copies(events)
    counts: collections.Counter[tuple[str, int]] = collections.Counter()
    for event in events:
        if isinstance(event, history.TaskStarted):
            counts[event.submission, event.position] += 1
    for (submission, position), count in counts.items():
        first_copy = first_copies.get(submission)
        if count > 1 and not (first_copy and first_copy.may_repeat):
            description = f"task {position} of {submission} started {count} times"
            yield history.Violation(
                "starts_once", description, _events_of(events, submission)
            )


@rules.register("whole_and_own_answer")
def whole_and_own_answer(events: history.History) -> Violations:
    """Check that a completed submission has each task's own answer, in task order."""
    first_copies = _first_copies(events)
    for event in events:
        if not isinstance(event, history.CopyAnswered):
            continue
        if isinstance(event.outcome, outcomes.Completed):
            expected = first_copies[event.submission].payloads
            if event.outcome.answers != expected:
                description = (
                    f"{event.submission} was answered {event.outcome.answers!r}"
                )
                trace = _events_of(events, event.submission)
                yield history.Violation("whole_and_own_answer", description, trace)


@rules.register("not_run_is_true")
def not_run_is_true(events: history.History) -> Violations:
    """Check that a submission answered ``not_run`` never starts, before or after."""
    started = {e.submission for e in events if isinstance(e, history.TaskStarted)}
    for event in events:
        if not isinstance(event, history.CopyAnswered):
            continue
        is_not_run = isinstance(event.outcome, outcomes.NotRun)
        if is_not_run and event.submission in started:
            description = f"{event.submission} was answered not_run, but was started"
            trace = _events_of(events, event.submission)
            yield history.Violation("not_run_is_true", description, trace)


@rules.register("completed_ran")
def completed_ran(events: history.History) -> Violations:
    """Check that every task of a submission answered ``completed`` was started."""
    started = {
        (e.submission, e.position) for e in events if isinstance(e, history.TaskStarted)
    }
    for event in events:
        if not isinstance(event, history.CopyAnswered):
            continue
        if not isinstance(event.outcome, outcomes.Completed):
            continue
        count = len(event.outcome.answers)
        if any((event.submission, n) not in started for n in range(count)):
            description = (
                f"{event.submission} was answered completed, but not all of its tasks "
                "were started"
            )
            yield history.Violation(
                "completed_ran", description, _events_of(events, event.submission)
            )


@rules.register("same_truth")
def same_truth(events: history.History) -> Violations:
    """Check that all copies of a submission get the same outcome or ``unknown``."""
    found: dict[str, set[str]] = {}
    for event in events:
        if not isinstance(event, history.CopyAnswered):
            continue
        if not isinstance(event.outcome, outcomes.Unknown):
            found.setdefault(event.submission, set()).add(event.outcome.tag)
    for submission, tags in found.items():
        if len(tags) > 1:
            description = f"{submission} was answered {sorted(tags)}"
            yield history.Violation(
                "same_truth", description, _events_of(events, submission)
            )


@rules.register("leaving_gets_nothing_new")
def leaving_gets_nothing_new(events: history.History) -> Violations:
    """Check that a leaving target is sent no work after ``MAX_LEAVING_DELAY``."""
    left: dict[str, history.LeaveStarted] = {}
    for event in events:
        if isinstance(event, history.LeaveStarted):
            left.setdefault(event.target, event)
        elif isinstance(event, history.TaskStarted) and event.target in left:
            since = left[event.target]
            if event.sent_at - since.at > MAX_LEAVING_DELAY:
                description = f"{event.target} was sent work after it began to leave"
                yield history.Violation(
                    "leaving_gets_nothing_new", description, (since, event)
                )


@rules.register("graceful_end_cuts_nothing")
def graceful_end_cuts_nothing(events: history.History) -> Violations:
    """Check that a graceful end leaves no copy unanswered that was sent before it."""
    for event in events:
        if isinstance(event, history.CopyUnanswered) and event.was_graceful:
            description = (
                f"copy {event.copy} of {event.submission} was cut off at {event.vm}"
            )
            trace = _events_of(events, event.submission)
            yield history.Violation("graceful_end_cuts_nothing", description, trace)


@rules.register("settings_never_revert")
def settings_never_revert(events: history.History) -> Violations:
    """Check that the revision of a section only increases at a daemon incarnation."""
    in_force: dict[tuple[str, str], history.SectionInForce] = {}
    for event in events:
        if isinstance(event, history.SectionInForce):
            key = (event.daemon, event.section)
            before = in_force.get(key)
            if before is not None and event.revision <= before.revision:
                description = (
                    f"{event.daemon} went from {before.revision} to {event.revision}"
                )
                yield history.Violation(
                    "settings_never_revert", description, (before, event)
                )
            in_force[key] = event


@rules.register("settings_reach_all")
def settings_reach_all(events: history.History) -> Violations:
    """Check that all live daemons have the newest settings after faults are healed."""
    newest: dict[str, history.SectionWritten] = {}
    for event in events:
        if isinstance(event, history.SectionWritten):
            newest[event.section] = event
    for event in events:
        if isinstance(event, history.HistoryEnded):
            yield from _missing_revisions(event, newest)


def _missing_revisions(
    event: history.HistoryEnded, newest: dict[str, history.SectionWritten]
) -> Violations:
    for daemon, revisions in event.revisions_by_daemon.items():
        for section, accepted in newest.items():
            if revisions.get(section, 0) < accepted.revision:
                description = (
                    f"{daemon} lacks revision {accepted.revision} of {section}"
                )
                yield history.Violation(
                    "settings_reach_all", description, (accepted, event)
                )


def summary(events: typing.Iterable[history.Event]) -> dict[str, int]:
    """Return the number of events of each class in a history, by class name."""
    return dict(collections.Counter(type(event).__name__ for event in events))
