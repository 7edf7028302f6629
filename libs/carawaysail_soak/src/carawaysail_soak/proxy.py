"""A proxy on the loopback interface that impairs connections.

Each link has a listening address of its own. The listening address stays in use until
the link is closed, so that a process that is down refuses connections here as well.
"""

import asyncio
import collections.abc
import itertools
import typing

from carawaysail_soak import connections

FORTH = "forth"
BACK = "back"
"""Directions of the bytes of a link: from the source to the target, and back."""

CHUNK_BYTES = 65_536
BACKLOG = 256


class Link(typing.NamedTuple):
    """Connections from one part of the site to another.

    Parameters
    ----------
    source, target : str
        Names: a VM, a worker, ``store`` or ``clients``.
    """

    source: str
    target: str


class Endpoint(typing.NamedTuple):
    """Addresses of a link and what the proxy changes in its bytes.

    Parameters
    ----------
    host : str
        Loopback address to listen on.
    address : str
        ``host:port`` of the target.
    local_host : str
        Loopback address that connections to the target come from, which tells the
        target the source; empty for any.
    replaced, replacement : bytes
        Bytes sent by the source that are replaced, with the same length.
    """

    host: str
    address: str
    local_host: str = ""
    replaced: bytes = b""
    replacement: bytes = b""


class Impairment(typing.NamedTuple):
    """What happens to the bytes of one direction while the impairment lasts.

    Parameters
    ----------
    delay_s : float
        Delay of each chunk, in seconds. A chunk that arrives while another one is
        delayed waits for that one too.
    is_held : bool
        Whether the bytes are held up, and released when the impairment ends.
    """

    delay_s: float = 0.0
    is_held: bool = False


class _Lane:
    """One direction of a link, with the impairments that are in effect."""

    def __init__(self) -> None:
        self.impairments: dict[int, Impairment] = {}
        self.changed = asyncio.Event()

    async def wait_until_clear(self) -> None:
        """Wait for the delay, and until no impairment holds the bytes up."""
        delay_s = sum(x.delay_s for x in self.impairments.values())
        if delay_s:
            await asyncio.sleep(delay_s)
        while any(x.is_held for x in self.impairments.values()):
            self.changed.clear()
            await self.changed.wait()


class _Connection:
    """A pair of sockets; its pumps run as tasks."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.writers = (near, far)
        self.is_silent = False
        # Bytes that may still pass in each direction before a reset.
        self.bytes_left: dict[str, int] = {}

    def reset(self) -> None:
        """Reset both sockets, without sending what is buffered."""
        for writer in self.writers:
            connections.reset(writer)


class Proxy:
    """Listens for all links of a site; used from one event loop."""

    def __init__(self) -> None:
        self._endpoints: dict[Link, Endpoint] = {}
        self._servers: dict[Link, asyncio.Server] = {}
        self._ports: dict[Link, int] = {}
        self._lanes: dict[tuple[Link, str], _Lane] = {}
        self._connections: dict[Link, set[_Connection]] = {}
        self._impairment_ids = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, link: Link, endpoint: Endpoint, port: int = 0) -> str:
        """Listen for a link and return its ``host:port``.

        Parameters
        ----------
        link : Link
            The link.
        endpoint : Endpoint
            Its addresses.
        port : int
            Port to listen on; 0 for any unused one.
        """
        self.close(link)
        for direction in (FORTH, BACK):
            self._lanes.setdefault((link, direction), _Lane())
        self._connections.setdefault(link, set())
        self._endpoints[link] = endpoint
        await self._listen(link, port)
        return f"{endpoint.host}:{self._ports[link]}"

    async def _listen(self, link: Link, port: int) -> None:
        def on_connect(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            task = asyncio.create_task(self._serve(link, reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

        server = await asyncio.start_server(
            on_connect, self._endpoints[link].host, port, backlog=BACKLOG
        )
        self._servers[link] = server
        self._ports[link] = server.sockets[0].getsockname()[1]

    def replace_bytes(self, link: Link, replaced: bytes, replacement: bytes) -> None:
        """Set the bytes of the source that are replaced on a link."""
        self._endpoints[link] = self._endpoints[link]._replace(
            replaced=replaced, replacement=replacement
        )

    def close(self, link: Link) -> None:
        """Stop listening for a link; open connections stay."""
        server = self._servers.pop(link, None)
        if server is not None:
            server.close()

    def suspend(self, target: str) -> None:
        """Refuse connections to a target, as while no process listens there."""
        for link in [x for x in self._servers if x.target == target]:
            self.close(link)

    async def resume(self, target: str) -> None:
        """Listen again, at the same addresses, after ``suspend``."""
        for link in self.links():
            if link.target == target and link not in self._servers:
                await self._listen(link, self._ports[link])

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        for link in list(self._servers):
            self.close(link)
        self.reset(self.links())
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def links(self) -> tuple[Link, ...]:
        """Return all links that were ever opened."""
        return tuple(self._endpoints)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return sum(len(x) for x in self._connections.values())

    def impair(
        self,
        links: collections.abc.Iterable[Link],
        directions: collections.abc.Iterable[str],
        impairment: Impairment,
    ) -> collections.abc.Callable[[], None]:
        """Impair directions of links; return a function that ends the impairment."""
        number = next(self._impairment_ids)
        lanes = [self._lanes[x, y] for x in links for y in directions]
        for lane in lanes:
            lane.impairments[number] = impairment

        def end() -> None:
            for lane in lanes:
                lane.impairments.pop(number, None)
                lane.changed.set()

        return end

    def reset(self, links: collections.abc.Iterable[Link]) -> None:
        """Reset the open connections of links."""
        for connection in self._open_connections(links):
            connection.reset()

    def silence(self, links: collections.abc.Iterable[Link]) -> None:
        """Drop all further bytes of the open connections; new connections work."""
        for connection in self._open_connections(links):
            connection.is_silent = True

    def reset_after(
        self, links: collections.abc.Iterable[Link], direction: str, size_bytes: int
    ) -> None:
        """Reset each open connection when it has carried so many more bytes."""
        for connection in self._open_connections(links):
            connection.bytes_left[direction] = size_bytes

    def _open_connections(
        self, links: collections.abc.Iterable[Link]
    ) -> list[_Connection]:
        return [x for link in links for x in self._connections.get(link, ())]

    async def _serve(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        endpoint = self._endpoints[link]
        try:
            await self._lanes[link, FORTH].wait_until_clear()
            far_reader, far_writer = await _connect(endpoint)
        except OSError:
            connections.reset(writer)
            return
        connection = _Connection(writer, far_writer)
        open_connections = self._connections[link]
        open_connections.add(connection)
        pumps = (
            self._pump(link, FORTH, connection, reader, far_writer),
            self._pump(link, BACK, connection, far_reader, writer),
        )
        try:
            await asyncio.gather(*pumps)
        except OSError:
            connection.reset()
        finally:
            open_connections.discard(connection)
            writer.close()
            far_writer.close()

    async def _pump(
        self,
        link: Link,
        direction: str,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        lane = self._lanes[link, direction]
        while data := await reader.read(CHUNK_BYTES):
            await lane.wait_until_clear()
            if connection.is_silent:
                continue
            endpoint = self._endpoints[link]
            if direction == FORTH and endpoint.replaced:
                data = data.replace(endpoint.replaced, endpoint.replacement)
            left = connection.bytes_left.get(direction)
            if left is not None:
                connection.bytes_left[direction] = left - len(data)
                writer.write(data[:left])
                if len(data) >= left:
                    await asyncio.wait_for(writer.drain(), 1.0)
                    raise ConnectionResetError
            else:
                writer.write(data)
            await writer.drain()
        await lane.wait_until_clear()
        if not connection.is_silent and writer.can_write_eof():
            writer.write_eof()


async def _connect(
    endpoint: Endpoint,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = endpoint.address.rpartition(":")
    local = (endpoint.local_host, 0) if endpoint.local_host else None
    return await asyncio.open_connection(host, int(port), local_addr=local)
