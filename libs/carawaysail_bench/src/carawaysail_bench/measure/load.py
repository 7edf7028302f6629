"""Open-loop load: requests start when they are due, whatever became of the others.

Response times count from the intended start, so waiting is not hidden.
"""

import concurrent.futures
import json
import random
import time
import typing

import hdrh.histogram
import urllib3
import urllib3.exceptions

from carawaysail_bench import fleet

THREADS = 400
HIGHEST_US = 120_000_000
DIGITS = 3
PATH = "/v1/services/pedidos/requests"


class Due(typing.NamedTuple):
    """One request to send.

    Parameters
    ----------
    at_s : float
        When, in seconds from the start.
    run_ms : float
        Run time on a target of speed 1.
    deadline_ms : int
        Deadline.
    service : str
        Name of the service.
    """

    at_s: float
    run_ms: float
    deadline_ms: int
    service: str = "pedidos"


class Sample(typing.NamedTuple):
    """What became of one request.

    Parameters
    ----------
    due : Due
        The request.
    took_ms : float
        From the intended start to the answer.
    held_ms : float
        From the actual start to the answer.
    outcome : str
        Its outcome, or the kind of error.
    target : str
        The target that answered; empty for none.
    """

    due: Due
    took_ms: float
    held_ms: float
    outcome: str
    target: str = ""


def arrivals(
    rate: float, seconds: float, random_state: int, start_s: float = 0.0
) -> list[float]:
    """Return Poisson arrivals, in seconds."""
    rng = random.Random(random_state)
    found: list[float] = []
    at = start_s
    while True:
        at += rng.expovariate(rate)
        if at >= start_s + seconds:
            return found
        found.append(at)


def mixed_run_ms(rng: random.Random) -> float:
    """Return a run time: most 50 to 400 ms, one in a hundred a straggler of 2 s."""
    if rng.random() < STRAGGLERS:
        return 2_000.0
    return rng.uniform(50.0, 400.0)


STRAGGLERS = 0.01
MEAN_RUN_MS = 225.0 * (1 - STRAGGLERS) + 2_000.0 * STRAGGLERS


def run(small: fleet.Fleet, dues: list[Due]) -> list[Sample]:
    """Send all requests when they are due, over the daemons in turn."""
    urls = [spec.url for spec in small.entries.values()]
    http = urllib3.PoolManager(num_pools=len(urls), maxsize=THREADS, retries=False)
    started = time.monotonic() + 0.2
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        futures = []
        for number, due in enumerate(dues):
            wait = started + due.at_s - time.monotonic()
            if wait > 0:
                time.sleep(wait)
            url = urls[number % len(urls)]
            futures.append(pool.submit(_one, http, url, due, started + due.at_s))
        return [future.result() for future in futures]


def _one(http: urllib3.PoolManager, url: str, due: Due, intended: float) -> Sample:
    payload = {"run_ms": due.run_ms, "echo": 0}
    body = json.dumps({"payload": payload, "deadline_ms": due.deadline_ms})
    path = PATH.replace("pedidos", due.service)
    began = time.monotonic()
    target = ""
    try:
        answer = http.request("POST", url + path, body=body, timeout=60.0)
        told = json.loads(answer.data)
        outcome = str(told.get("outcome"))
        target = str((told.get("answer") or {}).get("target", ""))
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        outcome = type(exc).__name__
    ended = time.monotonic()
    took_ms, held_ms = 1000 * (ended - intended), 1000 * (ended - began)
    return Sample(due, took_ms, held_ms, outcome, target)


def percentile(values: typing.Iterable[float], share: float) -> float:
    """Return a percentile of times in milliseconds, by an HDR histogram."""
    histogram = hdrh.histogram.HdrHistogram(1, HIGHEST_US, DIGITS)
    for value in values:
        histogram.record_value(max(1, int(value * 1000)))
    return float(histogram.get_value_at_percentile(share)) / 1000.0


def ratios(samples: list[Sample]) -> list[float]:
    """Return response over ideal of what completed; the ideal is the run time."""
    return [x.took_ms / x.due.run_ms for x in samples if x.outcome == "completed"]
