"""Open-loop load: each request is sent at its planned time, independent of others.

Response times count from the planned time, so that delays in the load generator are
included and not hidden (coordinated omission).
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
"""Largest number of requests under way; further ones are sent late."""

HIGHEST_RESPONSE_US = 120_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_PATH = "/v1/services/pedidos/requests"


class PlannedRequest(typing.NamedTuple):
    """One request to send.

    Parameters
    ----------
    at_s : float
        Planned time of sending, in seconds from the start of the load.
    run_ms : float
        Run time on a target of slowness 1, in milliseconds.
    deadline_ms : int
        Deadline that is sent with the request, in milliseconds.
    service : str
        Name of the service.
    """

    at_s: float
    run_ms: float
    deadline_ms: int
    service: str = "pedidos"


class Sample(typing.NamedTuple):
    """The result of one request.

    Parameters
    ----------
    request : PlannedRequest
        The request.
    response_ms : float
        Time from the planned time of sending to the answer, in milliseconds.
    call_ms : float
        Time from the actual time of sending to the answer, in milliseconds.
    outcome : str
        Its outcome, or the class name of the error.
    target : str
        Name of the target that answered; empty for none.
    """

    request: PlannedRequest
    response_ms: float
    call_ms: float
    outcome: str
    target: str = ""


def arrivals(
    rate_per_s: float, seconds: float, seed: int, start_s: float = 0.0
) -> list[float]:
    """Return the times of Poisson arrivals, in seconds from the start of the load.

    Parameters
    ----------
    rate_per_s : float
        Mean number of arrivals per second.
    seconds : float
        Duration of the arrivals, in seconds.
    seed : int
        Seed of the random numbers.
    start_s : float
        Start of the arrivals, in seconds from the start of the load.
    """
    rng = random.Random(seed)
    times_s: list[float] = []
    at_s = start_s
    while True:
        at_s += rng.expovariate(rate_per_s)
        if at_s >= start_s + seconds:
            return times_s
        times_s.append(at_s)


def mixed_run_ms(rng: random.Random) -> float:
    """Return a random run time: 50 to 400 ms, or 2 s for one request in a hundred."""
    if rng.random() < STRAGGLER_SHARE:
        return 2_000.0
    return rng.uniform(50.0, 400.0)


STRAGGLER_SHARE = 0.01
MEAN_RUN_MS = 225.0 * (1 - STRAGGLER_SHARE) + 2_000.0 * STRAGGLER_SHARE


def run(local_fleet: fleet.Fleet, requests: list[PlannedRequest]) -> list[Sample]:
    """Send all requests at their planned times, to the daemons in turn."""
    urls = [spec.url for spec in local_fleet.entries.values()]
    http = urllib3.PoolManager(num_pools=len(urls), maxsize=THREADS, retries=False)
    start_s = time.monotonic() + 0.2
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        futures = []
        for number, request in enumerate(requests):
            wait_s = start_s + request.at_s - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            url = urls[number % len(urls)]
            futures.append(
                pool.submit(_send_request, http, url, request, start_s + request.at_s)
            )
        return [future.result() for future in futures]


def _send_request(
    http: urllib3.PoolManager, url: str, request: PlannedRequest, planned_s: float
) -> Sample:
    payload = {"run_ms": request.run_ms, "echo": 0}
    body = json.dumps({"payload": payload, "deadline_ms": request.deadline_ms})
    path = REQUEST_PATH.replace("pedidos", request.service)
    sent_s = time.monotonic()
    target = ""
    try:
        answer = http.request("POST", url + path, body=body, timeout=60.0)
        result = json.loads(answer.data)
        outcome = str(result.get("outcome"))
        target = str((result.get("answer") or {}).get("target", ""))
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        outcome = type(exc).__name__
    ended_s = time.monotonic()
    response_ms, call_ms = 1000 * (ended_s - planned_s), 1000 * (ended_s - sent_s)
    return Sample(request, response_ms, call_ms, outcome, target)


def percentile(values: typing.Iterable[float], percent: float) -> float:
    """Return a percentile by an HDR histogram.

    Parameters
    ----------
    values : iterable of float
        Times in milliseconds, at most 120 s each.
    percent : float
        The percentile, from 0 to 100.
    """
    histogram = hdrh.histogram.HdrHistogram(1, HIGHEST_RESPONSE_US, SIGNIFICANT_DIGITS)
    for value in values:
        histogram.record_value(max(1, int(value * 1000)))
    return float(histogram.get_value_at_percentile(percent)) / 1000.0


def ratios(samples: list[Sample]) -> list[float]:
    """Return the ratios of response time to run time of the completed requests."""
    return [
        x.response_ms / x.request.run_ms for x in samples if x.outcome == "completed"
    ]
