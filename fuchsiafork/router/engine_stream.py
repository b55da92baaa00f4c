"""Pauses an engine's stream while its caller is stalled."""

import dataclasses
import json
import time
from typing import Any, Protocol

from fuchsiafork import messages
from fuchsiafork.adapters.target_call import (
    BrokenCallError,
    ConnectError,
    TargetCall,
)
from fuchsiafork.kernel import Clock, EventRing
from fuchsiafork.membership import KEY_OWNER
from fuchsiafork.router.commands import CallTarget
from fuchsiafork.router.resources import unused_observation
from fuchsiafork.router.target_request import REQUEST_ID_HEADER

CONTROL_TIMEOUT_S = 2.0
# As in the state machine: half of the maximum age of a grant.
_SLOT_REPLY_TIMEOUT_S = 1.0
_SLOT_RETRY_S = 0.25
_OK = 200


class KeeperMessenger(Protocol):
    """Sends messages to the keepers and receives their replies."""

    def request_reply(
        self, message: Any, destination: str, timeout_s: float
    ) -> Any:
        """Return the reply to a message, or None after the time-out."""

    def send_message(self, message: Any, destination: str) -> None:
        """Send a message without waiting."""


class EngineStream:
    """
    An open stream of an engine and its slot.

    A reacquired slot has the request id of the first slot, so the release at
    the end of the request releases the current slot.
    """

    def __init__(
        self,
        messenger: KeeperMessenger,
        clock: Clock,
        events: EventRing,
        command: CallTarget,
        grant: tuple[messages.AcquireSlot, messages.SlotAcquired],
    ) -> None:
        """Control the stream that ``command`` opened with the granted slot."""
        self._messenger = messenger
        self._clock = clock
        self._events = events
        self._command = command
        self._slot_request, self._slot = grant

    def pause(self) -> bool:
        """
        Pause the stream and return whether the engine keeps it.

        If so, the connection may be closed and the slot is released;
        otherwise nothing changes.
        """
        if not self._control('pause') and not self._is_done():
            return False
        self._release(self._slot)
        self._record_event('stream_paused')
        return True

    def release_slot(self) -> None:
        """Release the slot of a stream that the engine has completed."""
        self._release(self._slot)

    def resume(self, position: int) -> TargetCall:
        """
        Return an open call that continues the stream at a token position.

        :raises BrokenCallError: if no slot on the same target is granted in
            time, or the engine cannot resume the stream.
        """
        self._acquire_slot()
        try:
            call = self._open(f'resume?from={position}')
        except BrokenCallError as error:
            self._record_event('resume_failed', reason=str(error))
            raise
        self._record_event('stream_resumed', position=position)
        return call

    def cancel(self) -> None:
        """Cancel a paused stream whose caller has disconnected."""
        self._control('cancel')

    def _acquire_slot(self) -> None:
        """
        Acquire a slot on the target that holds the stream.

        Each slot granted on another target is released and that target is
        excluded.

        :raises BrokenCallError: if no slot is granted before the deadline.
        """
        initial_exclude = self._slot_request.exclude
        request = self._slot_request
        while (remaining := self._command.deadline - self._clock.now()) > 0:
            reply = self._messenger.request_reply(
                dataclasses.replace(request, deadline_s=remaining),
                KEY_OWNER,
                min(_SLOT_REPLY_TIMEOUT_S, remaining),
            )
            if isinstance(reply, messages.SlotRefused):
                request = dataclasses.replace(request, exclude=initial_exclude)
                time.sleep(min(_SLOT_RETRY_S, remaining))
            elif isinstance(reply, messages.SlotAcquired):
                if reply.target == self._slot.target:
                    return
                self._release(reply)
                excluded = (*request.exclude, reply.target)
                request = dataclasses.replace(request, exclude=excluded)
        self._record_event('resume_failed', reason='no slot on the same target')
        raise BrokenCallError('no slot on the target that holds the stream')

    def _release(self, slot: messages.SlotAcquired) -> None:
        """Release a slot without an observation."""
        self._messenger.send_message(
            messages.ReleaseSlot(
                request_id=slot.request_id,
                route=slot.route,
                group=self._slot_request.group,
                target=slot.target,
                version=slot.version,
                owner=slot.owner,
                observation=unused_observation(),
            ),
            KEY_OWNER,
        )

    def _open(self, action: str) -> TargetCall:
        """
        Send an action and return its open call, whose answer is the stream.

        :raises BrokenCallError: if the answer is not this stream.
        """
        call = self._send('POST', f'/{action}', self._command.deadline)
        own = call.headers.get(REQUEST_ID_HEADER.lower()) == self._request_id
        if call.status != _OK or not own:
            status = call.status
            call.close()
            raise BrokenCallError(f'{action!r} answered {status}')
        return call

    def _control(self, action: str) -> bool:
        """Send an action and return whether the engine accepted it."""
        try:
            call = self._send('POST', f'/{action}', self._control_deadline)
        except BrokenCallError:
            return False
        done = call.status == _OK
        call.close()
        return done

    def _is_done(self) -> bool:
        """Return whether the engine has generated the whole answer."""
        try:
            call = self._send('GET', '', self._control_deadline)
            record = json.loads(call.read(65_536))
        except (BrokenCallError, ValueError):
            return False
        call.close()
        return isinstance(record, dict) and record.get('state') == 'done'

    def _send(self, method: str, action: str, deadline: float) -> TargetCall:
        """
        Send a request about the stream and read the answer's headers.

        :raises BrokenCallError: if the engine does not answer.
        """
        call = TargetCall(self._command.url)
        try:
            call.connect()
        except ConnectError as error:
            raise BrokenCallError(str(error)) from None
        call.send(
            method,
            f'/v1/requests/{self._request_id}{action}',
            {REQUEST_ID_HEADER: self._request_id},
            b'',
            max(0.0, deadline - self._clock.now()),
        )
        return call

    @property
    def _request_id(self) -> str:
        """The id under which the engine knows the stream."""
        return self._command.headers[REQUEST_ID_HEADER]

    @property
    def _control_deadline(self) -> float:
        """Deadline of a call that is answered immediately."""
        return self._clock.now() + CONTROL_TIMEOUT_S

    def _record_event(self, kind: str, **fields: Any) -> None:
        """Record an event of this stream."""
        self._events.record(
            kind,
            request_id=self._request_id,
            target=self._slot.target,
            **fields,
        )
