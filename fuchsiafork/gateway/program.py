"""Composes the gateway process and runs it until it receives SIGTERM."""

import asyncio
import contextlib
import signal
from pathlib import Path

from fuchsiafork.gateway.composition import compose, make_retry_limits
from fuchsiafork.gateway.configuration import Configuration
from fuchsiafork.gateway.error_boundary import Supervisor, Task, guard_requests
from fuchsiafork.gateway.listening import ShedReport, listen
from fuchsiafork.gateway.pages import OperatorPages, ReadinessPage
from fuchsiafork.gateway.request_handler import RequestHandler
from fuchsiafork.gateway.store_feeds import ConfigurationFeed
from fuchsiafork.kernel.errors import (
    BadRequestError,
    FuchsiaforkError,
    HeadersTooLargeError,
    MemoryExhaustedError,
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
from fuchsiafork.transport.caller_resources import INTERNAL

PERIODIC_WORK_INTERVAL_S = 0.25
# Time after SIGTERM in which new requests are still served, since the load
# balancer keeps sending some.
ACCEPT_WHILE_STOPPING_S = 2.8
# Margin between the end of draining and the time at which the platform kills
# the process.
KILL_MARGIN_S = 0.9
DRAIN_POLL_INTERVAL_S = 0.05
# While draining, a connection is closed only after this idle time, since a
# request may already be in transit.
MIN_IDLE_BEFORE_CLOSE_S = 0.3
# Shortest and longest time after which a caller returns whose request was not
# read for lack of memory.
RETURN_S = (0.5, 1.5)
# Time limit of giving up the slot of a holder.
RESIGNATION_TIMEOUT_S = 0.2
# Time limit of the last write to the ledger.
FINAL_LEDGER_WRITE_TIMEOUT_S = 0.4

_UNREADABLE_ERRORS: dict[int, type[FuchsiaforkError]] = {
    408: RequestTimeoutError,
    413: RequestTooLargeError,
    431: HeadersTooLargeError,
    503: MemoryExhaustedError,
}


class GatewayProgram:
    """A gateway process with its servers and background tasks."""

    def __init__(self, path: Path, output: BoundedOutput | None = None) -> None:
        """
        Compose the process without listening yet.

        :param output: output of the log, which counts the lines left out.
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
        self._components = compose(self._settings, self._log)
        self._shared = self._components.shared
        self._clock = self._shared.clock
        self._settings_mtime_ns = path.stat().st_mtime_ns
        self._callers = CallerServer(
            guard_requests(self._serve, _answer_error, self._log),
            self._refuse_unreadable,
            self._caller_limits,
            self._shared.memory.guard,
        )
        self._shed_report = ShedReport(
            self._shared.memory.guard, self._shared.metrics, self._log
        )
        self._pages = OperatorPages(self._shared, self._ages, self._in_flight)
        readiness = ReadinessPage(lambda: self.ready)
        # Listened on before the address of the callers.
        self._internal_services = (
            (self._settings.peer_address, self._shared.peers.handle_request),
            (self._settings.metrics_address, self._pages.serve),
            (self._settings.listen.readiness, readiness.serve),
        )
        self._supervisor = Supervisor(
            self._shared.rng,
            lambda task: self._shared.metrics.task_failures.labels(task).inc(),
            self._log,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._listeners: list[asyncio.Server] = []

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send requests here."""
        synchronized = (
            self._shared.configuration is not None
            and self._components.target_feed.listed
            and self._shared.prepaid_tokens.ready
            and self._shared.quarantine.listed
        )
        impaired = self._stopping.is_set() or bool(self._supervisor.failing)
        return synchronized and not impaired

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
        """Listen on all addresses and start the background tasks."""
        for address, serve in self._internal_services:
            server = CallerServer(
                guard_requests(serve, _answer_error, self._log),
                self._refuse_unreadable,
                self._caller_limits,
                self._shared.memory.guard,
                INTERNAL,
            )
            self._listeners.append(await listen(address, server))
        self._listeners.append(
            await listen(self._settings.listen.callers, self._callers)
        )
        self._start_tasks()
        self._log.info('started', settings=str(self._path))

    async def stop(self) -> None:
        """Drain the requests in flight, then close everything."""
        self._stopping.set()
        await self._drain()
        self.close()
        self._log.info('stopped')

    def close(self) -> None:
        """Cancel the tasks and abort all connections at once."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.close()
        for connection in tuple(self._callers.connections):
            connection.abort()

    def _start_tasks(self) -> None:
        """Start the background tasks."""
        configuration_feed = ConfigurationFeed(
            self._apply_configuration, self._log
        )

        def apply_operator_items(changes: Changes) -> None:
            configuration_feed.apply_changes(changes)
            self._shared.rollouts.apply_orders(changes)

        def on_operator_items(changes: Changes) -> None:
            apply_operator_items(changes)
            self._shared.prepaid_tokens.notify_store_answered()

        components, shared = self._components, self._shared
        components.operator_items.set_apply(apply_operator_items)
        coroutines: dict[str, Task] = {
            'configuration': lambda: components.watchers.configuration.run(
                on_operator_items, on_operator_items
            ),
            'feeds': components.feed_check.run,
            'replication': components.operator_items.run,
            'rollouts': shared.rollouts.run,
            'targets': lambda: components.watchers.targets.run(
                components.target_feed.apply_listing,
                components.target_feed.apply_changes,
            ),
            'ledger': shared.prepaid_tokens.run,
            'slots': components.election.watch,
            'election': lambda: components.election.run(
                shared.prepaid_tokens.set_holding
            ),
            'draws': components.token_draws.run,
            'clocks': components.clock_check.run,
            'notices': components.notice_writer.run,
            'quarantine': shared.quarantine.watch,
            'acquittals': shared.quarantine.run,
            'periodic': self._run_periodic_work,
        }
        if self._settings.exchange_loads:
            coroutines['loads'] = components.load_exchange.run
        self._tasks = [
            asyncio.create_task(self._supervisor.run(name, coroutine))
            for name, coroutine in coroutines.items()
        ]

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._shared.configuration = configuration
        self._shared.prepaid_tokens.set_prepaid(configuration.prepaid)

    def _caller_limits(self) -> CallerLimits:
        """Return the limits on requests of callers."""
        configuration = self._shared.configuration
        return configuration.limits if configuration else CallerLimits()

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
        await RequestHandler(request, caller, self._shared).run()

    def _ages(self) -> dict[str, float]:
        """Return the seconds since data was confirmed, by kind of data."""
        now = self._clock.now()
        watchers = self._components.watchers
        return {
            'configuration': now - watchers.configuration.confirmed_at,
            'targets': now - watchers.targets.confirmed_at,
            'ledger': self._shared.prepaid_tokens.ledger_age_s,
        }

    def _in_flight(self) -> int:
        """Return the number of requests that are being read or served."""
        return sum(connection.busy for connection in self._callers.connections)

    def _refuse_unreadable(
        self,
        status: int,
        reason: str,
        caller: CallerConnection,
    ) -> None:
        """Refuse a request that could not be read."""
        error_class = _UNREADABLE_ERRORS.get(status, BadRequestError)
        self._log.warning('request_unreadable', status=status, reason=reason)
        error = error_class(reason)
        if isinstance(error, MemoryExhaustedError):
            error.retry_after = self._shared.rng.uniform(*RETURN_S)
        self._shared.metrics.refusals.labels(error.code, error.run_state).inc()
        _answer_error(caller, error)

    async def _run_periodic_work(self) -> None:
        """Expire targets, flush logs and reload settings periodically."""
        while True:
            await asyncio.sleep(PERIODIC_WORK_INTERVAL_S)
            self._shared.memory.guard.sweep()
            self._shed_report.update(self._clock.now())
            watchers = self._components.watchers
            self._shared.configuration_confirmed_at = (
                watchers.configuration.confirmed_at
            )
            self._shared.targets_confirmed_at = watchers.targets.confirmed_at
            for target_id in self._shared.targets.remove_expired(
                self._clock.now()
            ):
                self._log.info('target_gone', target=target_id)
            self._shared.pool.sweep()
            self._shared.target_limits.forget_gone()
            self._components.traffic.log_periodically(self._clock.now())
            self._flush_log()
            self._reload_changed()

    def _flush_log(self) -> None:
        """Write buffered log lines and report how many were left out."""
        if self._output is None:
            return
        self._output.flush()
        count = self._output.pop_dropped_count()
        if count:
            self._shared.metrics.lines_left_out.inc(count)
            self._log.warning('lines_left_out', count=count)

    def _reload(self) -> None:
        """Apply what may change while the process runs."""
        try:
            settings = load_vm_settings(self._path)
        except SettingsError as error:
            self._log.error('settings_invalid', reason=str(error))
            return
        self._settings = settings
        self._components.store.address = settings.store.address
        self._shared.retries.set_limits(make_retry_limits(settings))
        self._shared.memory.set_limits(settings.limits)
        self._log.info('settings_reloaded', store=settings.store.address)

    def _reload_changed(self) -> None:
        """Reload the settings if their file has changed without a signal."""
        try:
            mtime_ns = self._path.stat().st_mtime_ns
        except OSError as error:
            self._log.warning('settings_missing', reason=str(error))
            return
        if mtime_ns != self._settings_mtime_ns:
            self._settings_mtime_ns = mtime_ns
            self._reload()

    async def _drain(self) -> None:
        """Stop accepting requests and wait for those in flight."""
        self._log.warning(
            'stopping', connections=len(self._callers.connections)
        )
        drain_deadline = (
            self._clock.now() + self._settings.bounds.grace_s - KILL_MARGIN_S
        )
        self._callers.stopping = True
        await self._resign()
        await asyncio.sleep(ACCEPT_WHILE_STOPPING_S)
        self._refusing = True
        self._shared.admission.stop()
        while self._callers.busy and self._clock.now() < drain_deadline:
            self._callers.close_idle(MIN_IDLE_BEFORE_CLOSE_S)
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        self._shared.end_requests()
        # Lets the requests that timed out send their answers.
        await asyncio.sleep(0)
        self._callers.close_idle(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINAL_LEDGER_WRITE_TIMEOUT_S):
                await self._shared.prepaid_tokens.stop()

    async def _resign(self) -> None:
        """Give up the slot of a holder, unless the store doesn't answer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RESIGNATION_TIMEOUT_S):
                await self._components.election.resign()


def _answer_error(caller: CallerConnection, error: FuchsiaforkError) -> None:
    """Send an error to a caller whose request was not admitted."""
    headers = wire.refusal_headers('', error.retry_after)
    caller.answer(error.status, headers, refusal_body('', error))


def run(path: Path, output: BoundedOutput) -> int:
    """Run a gateway with a settings file and return its exit status."""

    async def serve() -> None:
        await GatewayProgram(path, output).run()

    asyncio.run(serve())
    return 0


__all__ = ('GatewayProgram', 'run')
