"""Runs the state machine of one request in a worker thread."""

import contextlib
import functools
import threading
import time
from collections.abc import Generator
from typing import Any

from fuchsiafork import messages
from fuchsiafork.adapters.engine import EngineClient
from fuchsiafork.adapters.target_call import (
    BrokenCallError,
    ConnectError,
    TargetCall,
)
from fuchsiafork.kernel import Clock, EventRing, FuchsiaforkError
from fuchsiafork.router import commands
from fuchsiafork.router.caller import Caller
from fuchsiafork.router.engine_stream import EngineStream, KeeperMessenger
from fuchsiafork.router.relay import Relay
from fuchsiafork.router.state_machine import serve_request


class Driver:
    """Executes the commands of one request; each call blocks."""

    def __init__(
        self,
        messenger: KeeperMessenger,
        engines: EngineClient,
        caller: Caller,
        clock: Clock,
        events: EventRing,
        chunk_bytes: int,
    ) -> None:
        """Execute the commands for one caller."""
        self._messenger = messenger
        self._engines = engines
        self._caller = caller
        self._clock = clock
        self._events = events
        self._chunk_bytes = chunk_bytes
        self._grant: (
            tuple[messages.AcquireSlot, messages.SlotAcquired] | None
        ) = None
        self._stream: EngineStream | None = None
        self._call: TargetCall | None = None
        self._called_at = 0.0

    def run(
        self,
        request: commands.Request,
        shared: commands.SharedState,
    ) -> commands.Answer:
        """
        Return the answer to a request.

        :raises FuchsiaforkError: if it is refused or fails.
        """
        steps = serve_request(request, shared)
        try:
            command = next(steps)
            while True:
                command = steps.send(self._execute(command))
        except StopIteration as end:
            return end.value
        finally:
            self._close_call()

    @functools.singledispatchmethod
    def _execute(self, command: Any) -> Any:
        """Return the reply to a command."""
        raise FuchsiaforkError(f'unknown command {command!r}')

    @_execute.register
    def _(self, command: commands.RequestReply) -> Any:
        reply = self._messenger.request_reply(
            command.message,
            command.destination,
            command.timeout_s,
        )
        if isinstance(reply, messages.SlotAcquired):
            self._grant = (command.message, reply)
        return reply

    @_execute.register
    def _(self, command: commands.SendMessage) -> None:
        self._messenger.send_message(command.message, command.destination)

    @_execute.register
    def _(self, command: commands.Spawn) -> None:
        threading.Thread(
            target=self._run_background,
            args=(command.steps,),
            name=command.request_id,
            daemon=True,
        ).start()

    @_execute.register
    def _(self, command: commands.Sleep) -> None:
        time.sleep(command.seconds)

    @_execute.register
    def _(self, command: commands.DropAnswer) -> None:
        self._close_call()

    @_execute.register
    def _(
        self, command: commands.ReadTargetRecord
    ) -> commands.TargetRecord | None:
        try:
            record = self._engines.fetch_record(command.url, command.request_id)
        except FuchsiaforkError:
            return None
        return commands.TargetRecord(
            found=record.state != 'unknown',
            tokens=record.tokens or 0,
        )

    @_execute.register
    def _(self, command: commands.CallTarget) -> Any:
        self._close_call()
        call = TargetCall(command.url)
        try:
            call.connect()
        except ConnectError as error:
            return commands.ConnectFailed(str(error))
        self._call = call
        self._called_at = self._clock.now()
        self._stream = self._make_stream(command)
        try:
            call.send(
                command.method,
                command.path,
                command.headers,
                command.body,
                self._remaining(command.deadline),
            )
        except BrokenCallError as error:
            return commands.TargetBroken(str(error))
        return commands.TargetHead(call.status, call.headers)

    @_execute.register
    def _(self, command: commands.RelayStream) -> commands.RelayResult:
        if self._call is None:
            raise FuchsiaforkError('no open call to relay')
        relay = Relay(
            self._call,
            self._caller,
            self._clock,
            command,
            self._called_at,
            self._stream,
            self._chunk_bytes,
        )
        relayed = relay.run()
        self._close_call()
        return relayed

    def _make_stream(self, command: commands.CallTarget) -> EngineStream | None:
        """Return the `EngineStream` of a call, if a slot was granted."""
        if self._grant is None:
            return None
        return EngineStream(
            self._messenger,
            self._clock,
            self._events,
            command,
            self._grant,
        )

    def _run_background(self, steps: Generator[Any, Any, None]) -> None:
        """
        Run steps that continue after their request has ended.

        They only read a target's record, sleep and send messages; none needs
        the caller.
        """
        reply = None
        with contextlib.suppress(StopIteration):
            while True:
                reply = self._execute(steps.send(reply))

    def _remaining(self, deadline: float) -> float:
        """Return the seconds left until a deadline."""
        return max(0.0, deadline - self._clock.now())

    def _close_call(self) -> None:
        """Close the connection to the target."""
        if self._call is not None:
            self._call.close()
            self._call = None
