"""Checks of the config, of processes and of recovery."""

import collections
import collections.abc
import math
import signal
import typing

from carawaysail_soak import history
from carawaysail_soak.checks import evidence, registry

IMPAIRED_SLACK_FACTOR = 8
"""Factor of ``downgrade_slack_ms`` on an impaired VM."""

MIN_SERVED_SHARE = 0.25

WRITE_MARGIN_S = 0.1
"""Time for which a config may be in force before its write is recorded."""

_Findings = collections.abc.Iterator[registry.Finding]


class _Seen(typing.NamedTuple):
    """What an answer shows of the config: whether a queue is there."""

    sent_at: float
    at: float
    vm: str
    queue: str
    is_present: bool


def _seen(gathered: evidence.Evidence) -> list[_Seen]:
    seen = [
        _Seen(x.sent_at, x.at, x.vm, x.queue, x.status == 200)
        for x in gathered.history.of(history.JobsPending)
        if x.status in (200, 404)
    ]
    for send in gathered.sends.values():
        req, answer = send.request, send.answer
        if answer is not None and answer.status in (200, 404):
            is_present = answer.status == 200
            seen.append(_Seen(req.at, answer.at, req.vm, req.queue, is_present))
    return sorted(seen, key=lambda x: x.sent_at)


def _fits(config: history.ConfigWritten, seen: _Seen) -> bool:
    return (seen.queue in config.prefixes) == seen.is_present


@registry.register("config_in_force_in_time")
def find_late_configs(gathered: evidence.Evidence) -> _Findings:
    """CONFIG: from ``config_apply_ms`` after its ack, no VM uses an older version."""
    configs = gathered.history.of(history.ConfigWritten)
    for seen in _seen(gathered):
        limit = seen.sent_at - gathered.bounds.config_apply_ms / 1000.0
        in_force = [x for x in configs if x.at < limit][-1:]
        newer = [x for x in configs if limit <= x.at <= seen.at + WRITE_MARGIN_S]
        if not in_force or any(_fits(x, seen) for x in in_force + newer):
            continue
        # A VM is judged only if it was in touch from the write to the answer.
        if gathered.impairments.in_touch(seen.vm, seen.at) and (
            gathered.impairments.in_touch(seen.vm, seen.sent_at)
        ):
            state = "served" if seen.is_present else "unknown"
            detail = f"{seen.queue} {state}, version {in_force[0].version} is in force"
            yield seen.at, seen.vm, detail


@registry.register("config_never_goes_back")
def find_config_regressions(gathered: evidence.Evidence) -> _Findings:
    """CONFIG: a process does not go back behind a version whose effect was seen."""
    configs = gathered.history.of(history.ConfigWritten)
    starts: dict[str, list[float]] = collections.defaultdict(list)
    for start in gathered.history.of(history.ProcessStarted):
        starts[start.vm].append(start.at)
    # Effects seen by each process: instant, and the oldest version that shows it.
    effects: dict[tuple[str, int], list[tuple[float, int]]] = collections.defaultdict(
        list
    )
    for seen in _seen(gathered):
        boot = sum(x <= seen.sent_at for x in starts[seen.vm])
        if boot != sum(x <= seen.at for x in starts[seen.vm]):
            continue
        slack_s = gathered.bounds.downgrade_slack_ms / 1000.0
        if not gathered.impairments.in_touch(seen.vm, seen.at):
            slack_s *= IMPAIRED_SLACK_FACTOR
        known = max(
            (n for at, n in effects[seen.vm, boot] if seen.sent_at > at + slack_s),
            default=0,
        )
        fitting = [
            n
            for n, x in enumerate(configs)
            if x.at <= seen.at + WRITE_MARGIN_S and _fits(x, seen)
        ]
        if fitting and fitting[-1] < known:
            version = configs[known].version
            yield seen.at, seen.vm, f"{seen.queue} as before version {version}"
        elif fitting:
            oldest = next((n for n in fitting if n >= known), known)
            effects[seen.vm, boot].append((seen.at, oldest))


@registry.register("processes_end_only_on_order")
def find_own_ends(gathered: evidence.Evidence) -> _Findings:
    """FAULT: a process ends after SIGTERM, with exit code 0, or after SIGKILL.

    Before it is ready, SIGTERM may also end it by the signal itself.
    """
    signals: dict[int, set[str]] = collections.defaultdict(set)
    allowed_codes: dict[int, tuple[int, ...]] = {}
    for event in gathered.history.events:
        match event:
            case history.Signalled():
                signals[event.pid].add(event.signal)
            case history.ProcessStarted():
                signals[event.pid].clear()
                allowed_codes[event.pid] = (0, -signal.SIGTERM)
            case history.ProcessReady():
                allowed_codes[event.pid] = (0,)
            case history.ProcessEnded():
                sent = signals[event.pid]
                if "SIGKILL" not in sent and (
                    "SIGTERM" not in sent
                    or event.exit_code not in allowed_codes.get(event.pid, (0,))
                ):
                    detail = f"exit code {event.exit_code} after {sorted(sent)}"
                    yield event.at, event.vm, detail


@registry.register("recovers_after_the_last_fault")
def find_missing_recovery(gathered: evidence.Evidence) -> _Findings:
    """RECOVER: a quarter is served, ``recovery_s`` after the last fault has ended.

    Judged if a quarter was served before that fault.
    """
    recorded = gathered.history
    end = min((x.at for x in recorded.of(history.TrafficEnded)), default=recorded.end)
    intervals = [x for x in gathered.impairments.intervals if x.begin <= end]
    if not intervals or any(
        math.isinf(x.end) and x.layer in ("links", "store") for x in intervals
    ):
        return
    # What was killed for good does not come back; the others have to serve.
    back = max(x.begin if math.isinf(x.end) else x.end for x in intervals)
    recovered = back + gathered.bounds.recovery_s
    before = _served_share(gathered, 0.0, max(x.begin for x in intervals))
    after = _served_share(gathered, recovered, end)
    if before is None or after is None:
        return
    if after < MIN_SERVED_SHARE <= before:
        detail = f"{after:.0%} served, {before:.0%} before the last fault"
        yield recovered, "all requests", detail


def _served_share(
    gathered: evidence.Evidence, begin: float, end: float
) -> float | None:
    """Return the share of requests that were completed; ``None`` if none was sent."""
    judged = [x for x in gathered.sends.values() if begin <= x.request.at <= end]
    if not judged:
        return None
    completed = sum(
        x.answer is not None and x.answer.state == "completed" for x in judged
    )
    return completed / len(judged)
