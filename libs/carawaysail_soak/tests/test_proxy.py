"""Tests of the proxy: each impairment does what it says, and only that."""

import asyncio
import time
import unittest

from carawaysail_soak import proxy

LINK = proxy.Link("vm-00", "vm-01")
OTHER = proxy.Link("vm-02", "vm-01")
HOST = "127.0.0.1"
WAIT_S = 0.3
"""How long bytes that are held up are waited for, in seconds."""


class ProxyCase(unittest.IsolatedAsyncioTestCase):
    """A proxy with two links to a server that echoes."""

    async def asyncSetUp(self):
        self.proxy = proxy.Proxy()
        self.addAsyncCleanup(self.proxy.stop)
        self.peers = []
        self.server = await asyncio.start_server(self.echo, HOST, 0)
        self.addCleanup(self.server.close)
        host, port = self.server.sockets[0].getsockname()
        self.target = f"{host}:{port}"
        self.addresses = {
            x: await self.proxy.open(x, proxy.Endpoint(HOST, self.target))
            for x in (LINK, OTHER)
        }

    async def echo(self, reader, writer):
        self.peers.append(writer.get_extra_info("peername"))
        try:
            while data := await reader.read(1000):
                writer.write(data)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def connect(self, link=LINK):
        host, _, port = self.addresses[link].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def connect_and_echo(self, link=LINK):
        streams = await self.connect(link)
        await self.assert_echoes(streams)
        return streams

    async def assert_echoes(self, streams):
        streams[1].write(b"ping")
        async with asyncio.timeout(5.0):
            self.assertEqual(b"ping", await streams[0].readexactly(4))

    async def assert_nothing_arrives(self, streams):
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(WAIT_S):
                await streams[0].readexactly(1)

    async def assert_reset(self, streams):
        async with asyncio.timeout(5.0):
            with self.assertRaises(ConnectionResetError):
                while await streams[0].read(1000):
                    pass


class TestLinks(ProxyCase):
    """Listening, refusing and telling the source."""

    async def test_bytes_pass_in_both_directions(self):
        await self.connect_and_echo()

    async def test_a_suspended_target_refuses_and_keeps_its_address(self):
        self.proxy.suspend("vm-01")
        with self.assertRaises(ConnectionRefusedError):
            await self.connect()
        await self.proxy.resume("vm-01")
        await self.connect_and_echo()

    async def test_the_target_sees_the_local_host(self):
        endpoint = proxy.Endpoint(HOST, self.target, local_host="127.9.8.7")
        self.addresses[LINK] = await self.proxy.open(LINK, endpoint)
        await self.connect_and_echo()
        self.assertEqual("127.9.8.7", self.peers[-1][0])

    async def test_bytes_of_the_source_are_replaced(self):
        self.proxy.replace_bytes(LINK, b"ping", b"pong")
        streams = await self.connect()
        streams[1].write(b"ping")
        self.assertEqual(b"pong", await streams[0].readexactly(4))


class TestImpairments(ProxyCase):
    """Impairments of one direction, and those of open connections."""

    async def test_bytes_are_held_and_released(self):
        streams = await self.connect_and_echo()
        end = self.proxy.impair([LINK], [proxy.FORTH], proxy.Impairment(is_held=True))
        streams[1].write(b"late")
        await self.assert_nothing_arrives(streams)
        await self.connect_and_echo(OTHER)
        end()
        self.assertEqual(b"late", await streams[0].readexactly(4))

    async def test_a_cut_of_the_way_back_lets_bytes_through_to_the_target(self):
        streams = await self.connect_and_echo()
        end = self.proxy.impair([LINK], [proxy.BACK], proxy.Impairment(is_held=True))
        await self.assert_nothing_arrives(await self.connect())
        end()
        await self.assert_echoes(streams)

    async def test_overlapping_impairments_end_by_themselves(self):
        held = proxy.Impairment(is_held=True)
        streams = await self.connect_and_echo()
        ends = [self.proxy.impair([LINK], [proxy.FORTH], held) for _ in range(2)]
        ends[0]()
        streams[1].write(b"late")
        await self.assert_nothing_arrives(streams)
        ends[1]()
        self.assertEqual(b"late", await streams[0].readexactly(4))

    async def test_bytes_are_delayed(self):
        streams = await self.connect_and_echo()
        self.proxy.impair([LINK], [proxy.BACK], proxy.Impairment(delay_s=0.2))
        begin = time.monotonic()
        await self.assert_echoes(streams)
        self.assertGreaterEqual(time.monotonic() - begin, 0.2)

    async def test_open_connections_are_reset(self):
        streams, others = (
            await self.connect_and_echo(),
            await self.connect_and_echo(OTHER),
        )
        self.proxy.reset([LINK])
        await self.assert_reset(streams)
        await self.assert_echoes(others)
        await self.connect_and_echo()

    async def test_silence_is_for_open_connections_and_for_good(self):
        streams = await self.connect_and_echo()
        self.proxy.silence([LINK])
        streams[1].write(b"ping")
        await self.assert_nothing_arrives(streams)
        await self.connect_and_echo()

    async def test_a_connection_is_reset_within_a_message(self):
        streams = await self.connect_and_echo()
        self.proxy.reset_after([LINK], proxy.BACK, 3)
        streams[1].write(b"ping")
        self.assertEqual(b"pin", await streams[0].readexactly(3))
        await self.assert_reset(streams)
