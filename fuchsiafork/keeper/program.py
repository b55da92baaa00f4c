"""Assembles a keeper process and runs it until it is stopped."""

import asyncio
import functools
import random
import secrets
import signal
import threading
from collections.abc import Callable
from types import FrameType
from typing import Any

from fuchsiafork.adapters.engine import EngineClient
from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.configuration import Document
from fuchsiafork.keeper.composition import Systems, make_systems
from fuchsiafork.keeper.engine_orders import EngineOrderExecutor
from fuchsiafork.keeper.metrics import KeeperMetrics
from fuchsiafork.keeper.node import KeeperNode
from fuchsiafork.keeper.platform_watcher import PlatformWatcher
from fuchsiafork.keeper.polling import TargetPoller
from fuchsiafork.keeper.request_records import RequestRecordReader
from fuchsiafork.keeper.runtime import KeeperRuntime, StoreExecutor
from fuchsiafork.kernel import (
    Context,
    CountingInvariants,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    SystemClock,
)
from fuchsiafork.links import Dialer, LinkHub, LinkServer
from fuchsiafork.messages import Goodbye, Hello
from fuchsiafork.observability.admin import AdminServer, AdminSources
from fuchsiafork.observability.logs import event_logger
from fuchsiafork.rollouts.loading import ENGINE_ADAPTER
from fuchsiafork.settings import KeeperSettings, split_address

# Time for peers and routers to learn that this keeper is leaving.
LEAVE_WAIT_S = 1.5
# Longest wait for the end of requests that hold reservations here.
MAX_REQUESTS_WAIT_S = 30.0
MAX_GRANT_RETURN_WAIT_S = 5.0
# Heartbeats detect failed keepers; pings only detect links whose connection
# was lost in a partition.
PEER_PING_INTERVAL_S = 10.0
_POLL_INTERVAL_S = 0.1


class KeeperProgram:
    """One keeper process."""

    def __init__(
        self,
        settings: KeeperSettings,
        store: StoreExecutor | None = None,
    ) -> None:
        """Create all parts of the process without listening."""
        clock = SystemClock()
        vm, section = settings.vm, settings.keeper
        self.identity = Identity(
            node=f'{vm.name}/keeper',
            domain=vm.domain,
            vm=vm.name,
            incarnation=secrets.token_hex(4),
        )
        self._settings = section
        self._stamps = HybridClock(self.identity.node, clock)
        log = event_logger(self.identity.node, vm.domain)
        self.events = EventRing(self._stamps, log=log)
        self.context = Context(
            identity=self.identity,
            clock=clock,
            random=random.Random(secrets.randbits(64)),
            outbox=Outbox(),
            events=self.events,
            invariants=CountingInvariants(log),
        )
        self.systems: Systems = make_systems(self.context, section.listen)
        self.node = KeeperNode(
            self.context,
            self.systems.membership,
            self.systems.named_systems(),
        )
        self.hub = LinkHub(
            self.identity,
            self._hello(section.listen),
            self._stamps,
            lambda envelope: self.runtime.receive(envelope),
        )
        self._store = store or StoreClient(
            settings.store.urls,
            settings.store.timeout_s,
        )
        self.runtime = KeeperRuntime(
            self.context,
            self.node,
            self.hub,
            self._store,
        )
        self._platform_watcher = PlatformWatcher(
            self.systems,
            settings.store,
            settings.vm_list,
            self.runtime.run_action,
        )
        self.metrics = KeeperMetrics(
            self.systems.gauges,
            self.hub.counters,
            lambda: dict(self.context.invariants.violations),
        )
        self._admin = AdminServer(
            *split_address(section.admin),
            AdminSources(
                ready=self._is_ready,
                status=self._status,
                events=self.events,
                registry=self.metrics.registry,
            ),
        )
        self._stop_at_once = False
        self._stop = threading.Event()
        self._ended = threading.Event()

    @property
    def admin_port(self) -> int:
        """The port of the admin server, once started."""
        return self._admin.port

    @property
    def document(self) -> Document:
        """The configuration in force."""
        return self.systems.document

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT and return the exit status."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        asyncio.run(self.serve())
        return 1 if self._stop_at_once else 0

    def start(self) -> None:
        """Serve in a new daemon thread."""
        threading.Thread(
            target=lambda: asyncio.run(self.serve()),
            daemon=True,
        ).start()

    def stop(self, timeout_s: float = 10) -> None:
        """Stop gracefully and wait until the process has ended."""
        self._stop.set()
        self._ended.wait(timeout_s)

    def close(self, timeout_s: float = 5) -> None:
        """Stop at once, without returning grants."""
        self._stop_at_once = True
        self._stop.set()
        self._ended.wait(timeout_s)

    async def serve(self) -> None:
        """Run the servers, links and periodic tasks until stopped."""
        server = LinkServer(self.hub)
        host, port = split_address(self._settings.listen)
        await server.start(host, port)
        dialer = Dialer(
            self.hub,
            random.Random(secrets.randbits(64)),
            PEER_PING_INTERVAL_S,
        )
        self.hub.on_links_changed = self._update_links
        self._update_links()
        self._admin.start()
        self.events.record('keeper_started', listen=self._settings.listen)
        tasks = [
            asyncio.create_task(self.runtime.run(self._ended.is_set)),
            asyncio.create_task(self._keep_dialing(dialer)),
            asyncio.create_task(self._run_target_adapters()),
            asyncio.create_task(self._platform_watcher.run(self._ended.is_set)),
        ]
        while not self._stop.is_set():
            await asyncio.sleep(_POLL_INTERVAL_S)
        if not self._stop_at_once:
            await self._leave()
        self._ended.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        dialer.stop()
        await server.stop()
        self.runtime.close()
        self._admin.stop()

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        """Stop gracefully; at a second signal stop at once and log the loss."""
        if not self._stop.is_set():
            self._stop.set()
            return
        self._stop_at_once = True
        tables = self.systems.holder.tables
        self.events.record(
            'keeper_cut_off',
            reservations=len(tables.reservations),
            settlements=len(tables.pending_settlements),
            money_held=self.systems.holds_grants(),
        )

    async def _leave(self) -> None:
        """Hand over ownership of keys, return grants and notify the members."""
        membership = self.systems.membership
        membership.leaving = True
        self.events.record('keeper_leaving')
        await asyncio.sleep(LEAVE_WAIT_S)
        # Routers stay linked, but send new requests to other keepers.
        await self._wait_while(
            self.systems.holder.is_busy,
            MAX_REQUESTS_WAIT_S,
        )
        self.systems.return_grants()
        await self._wait_while(
            self.systems.holds_grants,
            MAX_GRANT_RETURN_WAIT_S,
        )
        for node in tuple(membership.members):
            self.context.outbox.send(
                node,
                Goodbye(self.identity.node, self.identity.incarnation),
            )
        self.runtime.flush()
        await asyncio.sleep(_POLL_INTERVAL_S)
        self.events.record(
            'keeper_left',
            money_held=self.systems.holds_grants(),
        )

    async def _wait_while(self, condition: Any, limit_s: float) -> None:
        """Wait until a condition is false, a time limit at most."""
        deadline = self.context.clock.now() + limit_s
        while condition() and not self._stop_at_once:
            if self.context.clock.now() >= deadline:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _keep_dialing(self, dialer: Dialer) -> None:
        """Keep links to the configured peers and to the known members."""
        own_address = self._settings.listen
        while not self._ended.is_set():
            wanted = set(self._settings.peers)
            wanted |= self.systems.membership.addresses()
            for address in wanted - {own_address}:
                dialer.add_address(address)
            for address in dialer.addresses - wanted:
                dialer.remove_address(address)
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _run_target_adapters(self) -> None:
        """Run the adapters that call targets: load, load orders and records."""
        engines = EngineClient()
        loop = asyncio.get_running_loop()
        executor = EngineOrderExecutor(
            engines,
            lambda: self.systems.document,
            functools.partial(_call_in_loop, loop, self._receive_local),
        )
        self.runtime.local_receivers[ENGINE_ADAPTER] = executor.submit
        poller = TargetPoller(
            engines,
            self.context.clock,
            self.systems.owned_targets,
            self._receive_local,
        )
        reader = RequestRecordReader(
            self.context,
            engines,
            self.systems.holder,
            lambda: self.systems.document,
            self._receive_local,
        )
        await asyncio.gather(
            poller.run(self._ended.is_set),
            reader.run(self._ended.is_set),
        )
        executor.close()

    def _receive_local(self, message: Any) -> None:
        """Pass a message of an adapter to the node."""
        own = self.identity.node
        self.node.receive(message, own, own)
        self.runtime.flush()

    def _update_links(self) -> None:
        """Update the membership with the linked routers and keepers."""
        membership = self.systems.membership
        membership.linked = set(self.hub.links)
        membership.local_routers = {
            link.hello.node
            for link in self.hub.links.values()
            if link.hello.role == 'router'
        }
        membership.local_admins = {self._settings.admin} | {
            link.hello.admin
            for link in self.hub.links.values()
            if link.hello.role == 'router'
        }
        for link in self.hub.links.values():
            if link.hello.role == 'keeper':
                membership.add_member(link.hello)

    def _hello(self, address: str) -> Hello:
        """Return the message that introduces this keeper on a new link."""
        return Hello(
            node=self.identity.node,
            domain=self.identity.domain,
            role='keeper',
            incarnation=self.identity.incarnation,
            address=address,
            token=self._settings.token.get_secret_value(),
            admin=self._settings.admin,
        )

    def _is_ready(self) -> bool:
        """Return whether this keeper can serve routers."""
        return self.systems.revision > 0 and not self._stop.is_set()

    def _status(self) -> dict[str, Any]:
        """Return the state for the status page of the admin server."""
        return {
            'node': self.identity.node,
            'domain': self.identity.domain,
            'incarnation': self.identity.incarnation,
            'role': 'keeper',
            'ready': self._is_ready(),
            **self.systems.status(),
        }


def _call_in_loop(
    loop: asyncio.AbstractEventLoop,
    receive: Callable[[Any], None],
    message: Any,
) -> None:
    """Pass a message from another thread to a receiver in the event loop."""
    loop.call_soon_threadsafe(receive, message)
