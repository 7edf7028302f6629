"""Habits of clients, registered by name: what a client does each time it is due."""

import asyncio
import collections.abc
import random
import typing

from carawaysail_soak import clients
from carawaysail_types import registry

PIECES = 5

Habit = collections.abc.Callable[
    [clients.Client], collections.abc.Coroutine[typing.Any, typing.Any, None]
]

habits: registry.Registry[Habit] = registry.Registry("habits of clients")

WEIGHTS = {"wait": 24.0, "ask_pending": 2.0, "pieces": 2.0}


@habits.register("wait")
async def _wait(client: clients.Client) -> None:
    """Send a job and wait for its answer."""
    await client.submit(client.new_job())


@habits.register("pieces")
async def _pieces(client: clients.Client) -> None:
    """Send the request in pieces."""
    await client.submit(client.new_job(), PIECES)


@habits.register("ask_pending")
async def _ask_pending(client: clients.Client) -> None:
    """Ask for a count."""
    await client.ask_pending()


@habits.register("leave")
async def _leave(client: clients.Client) -> None:
    """Leave before the answer."""
    await post_and_leave(client, client.new_job())


async def post_and_leave(client: clients.Client, job: clients.Job) -> None:
    """Send a job, and close or reset the connection before the answer."""
    vm = client.pick_vm()
    connection = await client.connect(vm)
    if connection is None:
        return
    connection.write(client.encode(job))
    request_id = client.record_sent(job, vm)
    await asyncio.sleep(client.rng.uniform(0.0, 0.1))
    client.record_left(request_id)
    client.drop(vm, with_reset=client.rng.random() < 0.5)


@habits.register("abort")
async def _abort(client: clients.Client) -> None:
    """Send a part of the body and reset the connection."""
    job, vm = client.new_job(), client.pick_vm()
    connection = await client.connect(vm)
    if connection is None:
        return
    connection.write(client.encode(job)[:-10])
    request_id = client.record_sent(job, vm, is_whole=False)
    await asyncio.sleep(client.rng.uniform(0.0, 0.1))
    client.record_left(request_id)
    client.drop(vm, with_reset=True)


@habits.register("pipeline")
async def _pipeline(client: clients.Client) -> None:
    """Send several requests at once on one connection; read the answers in order."""
    vm = client.pick_vm()
    connection = await client.connect(vm)
    if connection is None:
        return
    jobs = [client.new_job() for _ in range(client.rng.randint(2, 3))]
    connection.write(b"".join(client.encode(x) for x in jobs))
    request_ids = [client.record_sent(x, vm) for x in jobs]
    for request_id in request_ids:
        await client.read(connection, request_id, vm)


@habits.register("two_queues")
async def _two_queues(client: clients.Client) -> None:
    """Post an identifier, leave, and post it later on any queue of another daemon."""
    job = client.new_job()
    await post_and_leave(client, job)
    await asyncio.sleep(clients.RETRANSMIT_S)
    queue = client.rng.choice(client.directory.queues())
    await client.submit(job._replace(queue=queue))


def draw(random_state: random.Random) -> Habit:
    """Return a random habit."""
    names = habits.names()
    weights = [WEIGHTS.get(x, 1.0) for x in names]
    return habits.get(random_state.choices(names, weights)[0])


async def run(client: clients.Client) -> None:
    """Let a client follow its habits until it is cancelled."""
    try:
        while True:
            await client.wait_until_due()
            await draw(client.rng)(client)
    finally:
        client.close()
