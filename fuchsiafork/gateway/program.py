"""Composes the process of a VM and runs it until it is told to stop."""

import asyncio
import contextlib
import functools
import signal
from pathlib import Path

from fuchsiafork.gateway.catalog import Catalog
from fuchsiafork.gateway.composition import compose, make_retry_budget
from fuchsiafork.gateway.exchange import Exchange
from fuchsiafork.gateway.pages import OperatorPages, ReadinessPage
from fuchsiafork.gateway.registry import ConfigurationFeed
from fuchsiafork.kernel.errors import (
    BadRequestError,
    FuchsiaforkError,
    HeadersTooLargeError,
    RequestTimeoutError,
    RequestTooLargeError,
    SettingsError,
    StoppingError,
)
from fuchsiafork.kernel.refusals import refusal_body
from fuchsiafork.observability.logs import get_logger
from fuchsiafork.observability.output import BoundedOutput
from fuchsiafork.platform import headers as wire
from fuchsiafork.platform.settings import load_vm_settings
from fuchsiafork.platform.store import Changes
from fuchsiafork.transport.caller import (
    CallerConnection,
    CallerLimits,
    CallerRequest,
    CallerServer,
)

# Callers waiting to be accepted.
BACKLOG = 512
TICK_S = 0.25
# Seconds after SIGTERM in which new requests are still served, until the
# load balancer sends no more.
TAKE_S = 2.8
# Seconds before the platform kills the process in which it ends by itself.
END_MARGIN_S = 0.9
DRAIN_POLL_S = 0.05
# A connection is closed only when nothing came for so long, since a request
# may be on its way when the stop begins.
CROSSING_S = 0.3
# Seconds for the last write of the ledger.
LAST_WRITE_S = 0.4

_UNREADABLE: dict[int, type[FuchsiaforkError]] = {
    408: RequestTimeoutError,
    413: RequestTooLargeError,
    431: HeadersTooLargeError,
}


class GatewayProgram:
    """One process: callers' requests, budgets, targets, configuration."""

    def __init__(self, path: Path, output: BoundedOutput | None = None) -> None:
        """
        Compose the process; nothing listens yet.

        :param output: where the log goes, for the count of lines left out.

        :raises SettingsError: if its settings file is invalid.
        """
        self._path = path
        self._output = output
        self._settings = load_vm_settings(path)
        self._log = get_logger('fuchsiafork.gateway').bind(
            vm=self._settings.vm,
        )
        self._stopping = asyncio.Event()
        self._refusing = False
        self._parts = compose(self._settings, self._log)
        self._services = self._parts.services
        self._clock = self._services.clock
        self._changed_at = path.stat().st_mtime_ns
        self._callers = CallerServer(self._serve, self._reject, self._limits)
        self._pages = OperatorPages(self._services, self._ages, self._in_flight)
        readiness = ReadinessPage(lambda: self.ready)
        # Where each address is served, the callers' last.
        self._served = (
            (self._settings.peer_address, self._services.peers.handle_request),
            (self._settings.metrics_address, self._pages.serve),
            (self._settings.listen.readiness, readiness.serve),
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[asyncio.Server] = []

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        known = (
            self._services.catalog is not None and self._parts.targets.listed
        )
        return known and not self._stopping.is_set()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Listen, follow the store and serve."""
        for address, serve in self._served:
            server = CallerServer(serve, self._reject, self._limits)
            await self._listen(address, server)
        await self._listen(self._settings.listen.callers, self._callers)
        self._start_tasks()
        self._log.info('started', settings=str(self._path))

    async def stop(self) -> None:
        """Let the callers go, finish the requests in flight, and end."""
        self._stopping.set()
        await self._drain()
        self.close()
        self._log.info('stopped')

    def close(self) -> None:
        """End everything at once."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()
        for connection in tuple(self._callers.connections):
            connection.abort()

    async def _listen(self, address: str, server: CallerServer) -> None:
        """Serve the connections to an address."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            functools.partial(CallerConnection, server),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )
        self._listeners.append(listener)

    def _start_tasks(self) -> None:
        """Follow the store and run the systems."""
        configuration = ConfigurationFeed(self._apply, self._log)

        def take_operator(changes: Changes) -> None:
            configuration.take(changes)
            self._services.rollouts.take(changes)
            self._services.prepaid_tokens.notify_store_answered()

        watches = (
            self._parts.configured.run(take_operator, take_operator),
            self._services.rollouts.run(),
            self._parts.registered.run(
                self._parts.targets.take_all,
                self._parts.targets.take_some,
            ),
            self._services.prepaid_tokens.run(),
            self._parts.clocks.run(),
            self._tick(),
        )
        self._tasks = [asyncio.create_task(watch) for watch in watches]
        for task in self._tasks:
            task.add_done_callback(self._note_end)

    def _apply(self, catalog: Catalog) -> None:
        """Put a configuration into force."""
        self._services.catalog = catalog
        self._services.prepaid_tokens.set_prepaid(catalog.prepaid)

    def _limits(self) -> CallerLimits:
        """Return the bounds on callers in force."""
        catalog = self._services.catalog
        return catalog.limits if catalog else CallerLimits()

    async def _serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer a caller's request."""
        if self._refusing:
            error = StoppingError('the process is stopping', retry_after=0)
            _answer_error(caller, error)
            return
        await Exchange(request, caller, self._services).run()

    def _ages(self) -> dict[str, float]:
        """Return the seconds since contact, by what it was about."""
        now = self._clock.now()
        return {
            'configuration': now - self._parts.configured.contact,
            'targets': now - self._parts.registered.contact,
            'ledger': self._services.prepaid_tokens.ledger_age_s,
        }

    def _in_flight(self) -> int:
        """Return the number of requests that are being read or served."""
        return sum(row.busy for row in self._callers.connections)

    def _reject(
        self,
        status: int,
        reason: str,
        caller: CallerConnection,
    ) -> None:
        """Refuse a request that could not be read."""
        kind = _UNREADABLE.get(status, BadRequestError)
        self._log.warning('request_unreadable', status=status, reason=reason)
        _answer_error(caller, kind(reason))

    async def _tick(self) -> None:
        """Run what goes by time."""
        while True:
            await asyncio.sleep(TICK_S)
            self._services.targets_at = self._parts.registered.contact
            for target_id in self._services.targets.expire(self._clock.now()):
                self._log.info('target_gone', target=target_id)
            self._services.pool.sweep()
            self._flush_log()
            self._reload_changed()

    def _flush_log(self) -> None:
        """Write lines that wait, and tell how many were left out."""
        if self._output is None:
            return
        self._output.flush()
        count = self._output.pop_dropped_count()
        if count:
            self._services.metrics.lines_left_out.inc(count)
            self._log.warning('lines_left_out', count=count)

    def _reload(self) -> None:
        """Take over what has changed in the settings file."""
        try:
            settings = load_vm_settings(self._path)
        except SettingsError as error:
            self._log.error('settings_invalid', reason=str(error))
            return
        self._settings = settings
        self._parts.store.address = settings.store.address
        self._services.retry_budget = make_retry_budget(settings)
        self._log.info('settings_reloaded', store=settings.store.address)

    def _reload_changed(self) -> None:
        """Reload the settings if their file has changed without a signal."""
        try:
            changed_at = self._path.stat().st_mtime_ns
        except OSError as error:
            self._log.warning('settings_missing', reason=str(error))
            return
        if changed_at != self._changed_at:
            self._changed_at = changed_at
            self._reload()

    def _note_end(self, task: asyncio.Task[None]) -> None:
        """End the process if one of its systems has failed."""
        if task.cancelled():
            return
        self._log.error('system_failed', reason=repr(task.exception()))
        self._stopping.set()

    async def _drain(self) -> None:
        """Let the callers go, and finish the requests in flight."""
        self._log.warning(
            'stopping', connections=len(self._callers.connections)
        )
        ends = self._clock.now() + self._settings.bounds.grace_s - END_MARGIN_S
        self._callers.stopping = True
        await asyncio.sleep(TAKE_S)
        self._refusing = True
        while self._callers.busy and self._clock.now() < ends:
            self._callers.close_idle(CROSSING_S)
            await asyncio.sleep(DRAIN_POLL_S)
        self._callers.close_idle(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_WRITE_S):
                await self._services.prepaid_tokens.stop()


def _answer_error(caller: CallerConnection, error: FuchsiaforkError) -> None:
    """Give the answer of an error that no route is known for."""
    headers = wire.refusal_headers('', error.retry_after)
    caller.answer(error.status, headers, refusal_body('', error))


def run(path: Path, output: BoundedOutput) -> int:
    """Return the exit status of a process with a settings file."""

    async def serve() -> None:
        await GatewayProgram(path, output).run()

    asyncio.run(serve())
    return 0


__all__ = ('GatewayProgram', 'run')
