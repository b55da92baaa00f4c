"""Confirmed changes of a large configuration, at VMs with a narrow link."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from fuchsiafork.gateway.peers import PeerSilentError
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.transport import pool
from fuchsiafork.transport.client_connection import (
    ClientConnection,
    ConnectError,
    connect,
)
from standins.link_proxies import LinkProxy
from standins.narrow_link import NarrowLink
from standins.platform_caller import Call, call_once
from standins.platform_site import PlatformSite, make_route
from standins.platform_store import StoreFault
from standins.platform_targets import PlatformTarget
from tests.gateway_case import make_configuration

# A document of this many routes takes about two seconds over the link.
ROUTES = 1200
LINK_BYTES_PER_S = 200_000
CHANGES = 6
CHANGE_INTERVAL_S = 0.8
# Time within which an acknowledged change must be applied.
APPLY_LIMIT_S = 2.0
# Time in which the store itself brings a change over the narrow link.
DIRECT_LIMIT_S = 5.0
# Time for which packets wait on a full link.
QUEUE_S = 0.45
OK_STATUS = 200
NOT_FOUND = 404
NOT_RUN = 503
NARROW_VM = 'c-3'


class LateConfigurationCase(unittest.IsolatedAsyncioTestCase):
    """Two VMs, and one whose link carries a document in two seconds."""

    async def asyncSetUp(self) -> None:
        """Start two VMs and one with a narrow link to the store."""
        configure_logs('critical')
        asyncio.get_running_loop().set_debug(False)
        self.site = PlatformSite()
        self.document = make_configuration()
        self.document['routes'] += [
            make_route(f'/idle-{number}/', 'safe', 'plain', public=True)
            for number in range(ROUTES)
        ]
        await self.site.start(
            self.document, [PlatformTarget('p-1', 'plain', 'a')]
        )
        self.link = NarrowLink(self.site.store.address, LINK_BYTES_PER_S)
        await self.link.start()
        self.other_links = []
        for vm in ('a-1', 'b-2'):
            link = LinkProxy(self.site.store.address)
            await link.start()
            self.other_links.append(link)
            await self.site.add_gateway(vm, vm[0], link.address)
        await self.site.add_gateway(NARROW_VM, 'c', self.link.address)

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        await self.site.stop()
        for link in (self.link, *self.other_links):
            await link.stop()

    def write_change(self, **fields: Any) -> None:
        """Write a newer configuration with some fields changed."""
        self.document = {
            **self.document,
            'version': self.document['version'] + 1,
            **fields,
        }
        self.site.store.put('op/config', self.document)

    def add_route(self, prefix: str) -> None:
        """Write a configuration with one more route."""
        added = make_route(prefix, 'safe', 'plain', public=True)
        self.write_change(routes=[*self.document['routes'], added])

    async def status_after(
        self, seconds: float, prefix: str, vm: str = NARROW_VM
    ) -> int:
        """Add a route; return the status of a request some time later."""
        self.add_route(prefix)
        await asyncio.sleep(seconds)
        call = Call(f'{prefix}1', request_id=f'r-{prefix.strip("/")}')
        reply = await call_once(self.site.ports[vm], call)
        return reply.status


class TestNarrowLink(LateConfigurationCase):
    """Documents that are written faster than a link carries them."""

    async def test_route_added_in_a_storm_is_served_in_time(self) -> None:
        """Guards against 404 for a route that was confirmed long before."""
        calls = []
        for number in range(CHANGES):
            call = self.status_after(APPLY_LIMIT_S, f'/added-{number}/')
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(CHANGE_INTERVAL_S)
        statuses = await asyncio.gather(*calls)
        self.assertEqual(set(statuses), {OK_STATUS})

    async def test_route_is_served_though_other_vms_are_cut_off(self) -> None:
        """Guards against waiting for VMs that the change doesn't reach."""
        for link in self.other_links:
            link.set_open(is_open=False)
        status = await self.status_after(DIRECT_LIMIT_S, '/added/')
        self.assertEqual(status, OK_STATUS)


class TestFullLink(LateConfigurationCase):
    """A link on which packets wait, so that connections open slowly."""

    async def test_route_is_served_though_connections_open_slowly(self) -> None:
        """Guards against giving up each connection to the store too soon."""

        async def connect_slowly(
            address: str, timeout_s: float
        ) -> ClientConnection:
            if address != self.other_links[0].address:
                return await connect(address, timeout_s)
            await asyncio.sleep(min(timeout_s, QUEUE_S))
            if timeout_s <= QUEUE_S:
                raise ConnectError(address, silent=True)
            return await connect(address, timeout_s)

        with mock.patch.object(pool, 'connect', connect_slowly):
            self.site.store.server.break_connections()
            await asyncio.sleep(APPLY_LIMIT_S)
            status = await self.status_after(APPLY_LIMIT_S, '/added/', 'a-1')
        self.assertEqual(status, OK_STATUS)


class TestLostAnswer(LateConfigurationCase):
    """A watch whose answer never arrives on an open connection."""

    async def test_route_is_served_by_all_vms_in_time(self) -> None:
        """Guards against 404 from a VM that waits for a lost answer."""
        self.site.store.lost_watches = 1
        self.add_route('/added/')
        await asyncio.sleep(APPLY_LIMIT_S)
        call = Call('/added/1')
        replies = [
            await call_once(port, call) for port in self.site.ports.values()
        ]
        statuses = [reply.status for reply in replies]
        self.assertEqual(set(statuses), {OK_STATUS})

    async def test_unknown_route_is_not_found(self) -> None:
        """Guards against refusals of what no VM and no store knows."""
        for port in self.site.ports.values():
            reply = await call_once(port, Call('/nowhere/1'))
            self.assertEqual(reply.status, NOT_FOUND)

    async def test_route_that_may_be_new_is_refused_as_not_run(self) -> None:
        """Guards against 404 from a VM that can't tell."""
        self.site.store.fault = StoreFault.SILENT
        peers = self.site.gateways[NARROW_VM]._shared.peers
        silent = PeerSilentError('cut off', sent=False)
        with mock.patch.object(peers, 'call', side_effect=silent):
            reply = await call_once(
                self.site.ports[NARROW_VM], Call('/nowhere/1')
            )
        self.assertEqual(reply.status, NOT_RUN)
