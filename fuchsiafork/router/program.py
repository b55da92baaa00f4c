"""Composes a router process and runs it until it is stopped."""

import os
import random
import secrets
import signal
import sys
import threading
import time
from types import FrameType
from typing import Any

from fuchsiafork.adapters.engine import EngineClient
from fuchsiafork.kernel import (
    Context,
    CountingInvariants,
    EventRing,
    HybridClock,
    Identity,
    Outbox,
    SystemClock,
)
from fuchsiafork.messages import Hello
from fuchsiafork.observability.admin import AdminServer, AdminSources
from fuchsiafork.observability.logs import event_logger
from fuchsiafork.router.application import Application
from fuchsiafork.router.caller import Caller
from fuchsiafork.router.commands import SharedState
from fuchsiafork.router.directory import Directory
from fuchsiafork.router.driver import Driver
from fuchsiafork.router.keeper_client import KeeperClient
from fuchsiafork.router.metrics import RouterMetrics
from fuchsiafork.router.node import RouterNode
from fuchsiafork.router.request_ids import RequestIds
from fuchsiafork.router.retry_budget import RetryBudget
from fuchsiafork.router.server import CallerServer
from fuchsiafork.router.stall_limit import StallLimit
from fuchsiafork.settings import RouterSettings, split_address

# Longer than the load balancer takes to detect that readiness is off.
BALANCER_WAIT_S = 2.0
# Time for settlements to be acknowledged before the process ends.
SETTLE_WAIT_S = 5.0


class RouterProgram:
    """One router process."""

    def __init__(self, settings: RouterSettings) -> None:
        """Compose the process; nothing listens yet."""
        clock = SystemClock()
        vm = settings.vm
        identity = Identity(
            node=f'{vm.name}/router',
            domain=vm.domain,
            vm=vm.name,
            incarnation=secrets.token_hex(4),
        )
        stamps = HybridClock(identity.node, clock)
        log = event_logger(identity.node, identity.domain)
        self.events = EventRing(stamps, log=log)
        self.metrics = RouterMetrics()
        self.context = Context(
            identity=identity,
            clock=clock,
            random=random.Random(secrets.randbits(64)),
            outbox=Outbox(),
            events=self.events,
            invariants=CountingInvariants(log),
        )
        self._settings = settings.router
        # Half of the worker threads stay free for callers that are not stalled.
        self.stall_limit = StallLimit(max(1, settings.router.threads // 2))
        self.application = Application(
            RequestIds(identity),
            SharedState(
                vm=vm.name,
                clock=clock,
                random=self.context.random,
                events=self.events,
                retry_budget=RetryBudget(),
            ),
            self._make_driver,
            self.metrics,
            settings.router.body_limit_bytes,
            self.stall_limit,
        )
        self.node = RouterNode(self.context, self._apply)
        self.keeper_client = KeeperClient(
            self.context,
            self.node,
            stamps,
            Hello(
                node=identity.node,
                domain=identity.domain,
                role='router',
                incarnation=identity.incarnation,
                address='',
                token=settings.router.token.get_secret_value(),
                admin=settings.router.admin,
            ),
            settings.router.keepers,
        )
        self._engines = EngineClient()
        self._server = CallerServer(
            self.application,
            settings.router,
            clock,
        )
        self._admin = AdminServer(
            *split_address(settings.router.admin),
            AdminSources(
                ready=lambda: self.ready,
                status=self._status,
                events=self.events,
                registry=self.metrics.registry,
            ),
        )
        self._stop = threading.Event()

    @property
    def port(self) -> int:
        """The port for callers, valid once started."""
        return self._server.port

    @property
    def admin_port(self) -> int:
        """The port of the admin pages, valid once started."""
        return self._admin.port

    def start(self) -> None:
        """Listen, connect to the keeper and serve in the background."""
        self.keeper_client.start()
        self._server.start()
        self._admin.start()
        self.events.record('router_started', port=self.port)

    def run(self) -> int:
        """Serve until SIGTERM or SIGINT and return the exit status."""
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self.start()
        self._stop.wait()
        self.stop()
        return 0

    def stop(self) -> None:
        """Finish every open request, then close everything."""
        self.events.record('router_stopping')
        self._stop.set()
        time.sleep(BALANCER_WAIT_S)
        self.application.stopping = True
        while not self.application.wait_idle(self._settings.drain_wait_s):
            self.events.record(
                'router_draining',
                open_requests=len(self.application.open_requests),
            )
        self._await_settlements()
        self._server.stop()
        self.keeper_client.stop()
        self._admin.stop()
        self.events.record('router_stopped')

    def close(self) -> None:
        """Close everything at once, without waiting for requests."""
        self._stop.set()
        self._server.stop()
        self.keeper_client.stop()
        self._admin.stop()

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests to this router."""
        configured = self.application.directory is not None
        return (
            configured and self.keeper_client.linked and not self._stop.is_set()
        )

    def _await_settlements(self) -> None:
        """Wait for the keepers to confirm all outcomes, with a timeout."""
        deadline = time.monotonic() + SETTLE_WAIT_S
        while self.node.unacknowledged and time.monotonic() < deadline:
            time.sleep(0.05)

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        """Begin to stop; at the second signal abort the open requests."""
        if not self._stop.is_set():
            self._stop.set()
            return
        # The interrupted code may hold the lock of the events or of the log.
        threading.Thread(target=self._abort).start()

    def _abort(self) -> None:
        """Log the open requests and end the process immediately."""
        for request_id, path in self.application.open_requests.items():
            self.events.record(
                'request_cut_off',
                request_id=request_id,
                path=path,
            )
        sys.stdout.flush()
        # A regular exit would wait for the threads that serve requests.
        os._exit(1)

    def _make_driver(self, caller: Caller) -> Driver:
        """Return the driver of one request."""
        return Driver(
            self.keeper_client,
            self._engines,
            caller,
            self.context.clock,
            self.events,
            self._settings.stream_buffer_bytes,
        )

    def _apply(self, directory: Directory) -> None:
        """Activate a newer configuration."""
        self.application.directory = directory

    def _status(self) -> dict[str, Any]:
        """Return the content of the status page."""
        directory = self.application.directory
        identity = self.context.identity
        return {
            'node': identity.node,
            'domain': identity.domain,
            'incarnation': identity.incarnation,
            'role': 'router',
            'ready': self.ready,
            'revision': directory.revision if directory else 0,
            'digest': self.node.configuration.active.digest,
            'admins': [],
            'open_requests': len(self.application.open_requests),
            'unacknowledged': self.node.unacknowledged,
        }
