"""A router's requests for target slots and the slots it holds."""

import dataclasses
import functools
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Clock, Outbox
from fuchsiafork.membership import KEY_OWNER

# An older grant is not used: an owner that was cut off or paused may have lost
# its targets since.
GRANT_VALID_S = 2.0
# Half of GRANT_VALID_S, so that a request that waits in the owner's queue gets
# a grant that is still valid.
ACQUIRE_RETRY_S = 1.0
RELEASE_RETRY_S = 0.5

UNUSED_OBSERVATION = messages.Observation(
    sent=False,
    failed=False,
    truncated=False,
    first_token_s=-1,
    token_gap_s=-1,
    tokens=0,
)


@dataclasses.dataclass(slots=True)
class _PendingAcquire:
    """An attempt without an answer yet; times are of the local clock."""

    message: messages.AcquireSlot
    deadline: float
    resend_at: float


@dataclasses.dataclass(slots=True)
class _PendingRelease:
    """A release that the owner has not acknowledged yet."""

    message: messages.ReleaseSlot
    resend_at: float


class RouterSlots:
    """The slots of one router; messages are put into the outbox."""

    def __init__(self, node: str, clock: Clock, outbox: Outbox) -> None:
        """Start without slots; ``node`` is the router's node id."""
        self._node = node
        self._clock = clock
        self._outbox = outbox
        self._attempts = itertools.count(1)
        self._pending_acquires: dict[str, _PendingAcquire] = {}
        self._held: dict[str, tuple[messages.SlotAcquired, str]] = {}
        self._pending_releases: dict[tuple[str, int, str], _PendingRelease] = {}
        self._owners: dict[str, str] = {}

    @property
    def open_requests(self) -> tuple[str, ...]:
        """The ids of the requests that hold a slot."""
        return tuple(self._held)

    def acquire(self, request: messages.AcquireSlot) -> int:
        """
        Request a slot and return the number of the attempt.

        The attempt replaces a pending one of the same request.
        """
        self.cancel(request.request_id)
        now = self._clock.now()
        request = dataclasses.replace(request, attempt=next(self._attempts))
        pending = _PendingAcquire(request, now + request.deadline_s, now)
        self._pending_acquires[request.request_id] = pending
        self._send_acquire(pending, now)
        return request.attempt

    def cancel(self, request_id: str) -> None:
        """Cancel the pending attempt of a request, if there is one."""
        pending = self._pending_acquires.pop(request_id, None)
        if pending is not None:
            self._send_cancel(pending.message)

    def may_send(self, request_id: str) -> bool:
        """
        Return whether the request holds a grant that is still valid.

        An expired grant is released; the caller then acquires another slot.
        """
        held = self._held.get(request_id)
        if held is None:
            return False
        if self._clock.now() - held[0].sent_at <= GRANT_VALID_S:
            return True
        self.release(request_id, UNUSED_OBSERVATION)
        return False

    def release(
        self,
        request_id: str,
        observation: messages.Observation,
    ) -> None:
        """Release a slot; resent until the owner acknowledges it."""
        held = self._held.pop(request_id, None)
        if held is not None:
            self._send_release(held[0], held[1], observation)

    @functools.singledispatchmethod
    def handle(self, message: Any) -> Any:
        """Return the grant or refusal of a pending request, else None."""
        return None

    @handle.register
    def _(self, message: messages.SlotAcquired) -> Any:
        held = self._held.get(message.request_id)
        if held is not None and _is_same_grant(held[0], message):
            return None
        pending = self._pending_acquires.get(message.request_id)
        if pending is None or not self._is_valid(pending.message, message):
            self._send_release(
                message, self._group_of(message), UNUSED_OBSERVATION
            )
            self._start_new_attempt(pending, message)
            return None
        self._pending_acquires.pop(message.request_id)
        if message.foreign:
            self._send_cancel(pending.message)
        self._held[message.request_id] = (message, pending.message.group)
        return message

    @handle.register
    def _(self, message: messages.SlotRefused) -> Any:
        pending = self._pending_acquires.get(message.request_id)
        if pending is None or pending.message.attempt != message.attempt:
            return None
        self._pending_acquires.pop(message.request_id)
        return message

    @handle.register
    def _(self, message: messages.SlotReleased) -> Any:
        key = (message.request_id, message.attempt, message.target)
        self._pending_releases.pop(key, None)
        return None

    @handle.register
    def _(self, message: messages.AskOpenSlots) -> Any:
        asked = set(message.targets)
        self._owners.update(dict.fromkeys(asked, message.owner))
        rows = tuple(
            messages.OpenSlot(
                grant.request_id,
                grant.target,
                grant.route,
                grant.version,
                grant.attempt,
            )
            for grant, _ in self._held.values()
            if grant.target in asked
        )
        answer = messages.OpenSlots(self._node, rows, message.ask_id)
        self._outbox.send(message.owner, answer)
        return None

    def tick(self) -> list[str]:
        """Cancel and return the requests past their deadline; resend others."""
        now = self._clock.now()
        expired = [
            request_id
            for request_id, pending in self._pending_acquires.items()
            if pending.deadline <= now
        ]
        for request_id in expired:
            self.cancel(request_id)
        for pending in self._pending_acquires.values():
            if pending.resend_at <= now:
                self._send_acquire(pending, now)
        for pending_release in self._pending_releases.values():
            if pending_release.resend_at <= now:
                pending_release.resend_at = now + RELEASE_RETRY_S
                self._outbox.send(KEY_OWNER, pending_release.message)
        return expired

    def _is_valid(
        self,
        request: messages.AcquireSlot,
        grant: messages.SlotAcquired,
    ) -> bool:
        """Return whether a grant answers this attempt and may be used."""
        owner = self._owners.get(grant.target, grant.owner)
        fresh = self._clock.now() - grant.sent_at <= GRANT_VALID_S
        return (
            grant.attempt == request.attempt
            and grant.target not in request.exclude
            and grant.owner == owner
            and fresh
        )

    def _start_new_attempt(
        self,
        pending: _PendingAcquire | None,
        grant: messages.SlotAcquired,
    ) -> None:
        """Start a new attempt if the rejected grant was for the pending one."""
        if pending is None or pending.message.attempt != grant.attempt:
            return
        self._send_cancel(pending.message)
        pending.message = dataclasses.replace(
            pending.message,
            attempt=next(self._attempts),
        )
        self._send_acquire(pending, self._clock.now())

    def _group_of(self, grant: messages.SlotAcquired) -> str:
        """Return the group of a request, empty if it is unknown."""
        held = self._held.get(grant.request_id)
        pending = self._pending_acquires.get(grant.request_id)
        if held is not None:
            return held[1]
        return pending.message.group if pending is not None else ''

    def _send_acquire(self, pending: _PendingAcquire, now: float) -> None:
        """Send a request for a slot with the time left to its deadline."""
        pending.resend_at = now + ACQUIRE_RETRY_S
        pending.message = dataclasses.replace(
            pending.message,
            sent_at=now,
            deadline_s=pending.deadline - now,
        )
        self._outbox.send(KEY_OWNER, pending.message)

    def _send_cancel(self, request: messages.AcquireSlot) -> None:
        """Tell the group's owner in this domain that an attempt is over."""
        self._outbox.send(
            KEY_OWNER,
            messages.CancelAcquire(
                request.request_id,
                request.route,
                request.group,
                request.attempt,
            ),
        )

    def _send_release(
        self,
        grant: messages.SlotAcquired,
        group: str,
        observation: messages.Observation,
    ) -> None:
        """Send a release, to be resent until it is acknowledged."""
        release = messages.ReleaseSlot(
            request_id=grant.request_id,
            route=grant.route,
            group=group,
            target=grant.target,
            version=grant.version,
            owner=grant.owner,
            observation=observation,
            attempt=grant.attempt,
            owner_now=self._owners.get(grant.target, ''),
        )
        key = (grant.request_id, grant.attempt, grant.target)
        previous = self._pending_releases.get(key)
        if previous is not None and previous.message.observation.sent:
            release = previous.message
        resend_at = self._clock.now() + RELEASE_RETRY_S
        self._pending_releases[key] = _PendingRelease(release, resend_at)
        self._outbox.send(grant.owner, release)


def _is_same_grant(
    first: messages.SlotAcquired,
    second: messages.SlotAcquired,
) -> bool:
    """Return whether two messages are copies of one grant."""
    return (first.attempt, first.owner, first.target) == (
        second.attempt,
        second.owner,
        second.target,
    )
