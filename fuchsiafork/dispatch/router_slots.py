"""The router's side of target slots."""

import dataclasses
import functools
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.kernel import Clock, Outbox
from fuchsiafork.membership import KEY_OWNER

# An owner that was cut off or paused may have lost its targets by then.
GRANT_VALID_S = 2.0
# Half the grant's validity, so that a grant from the queue is fresh.
ACQUIRE_AGAIN_S = 1.0
RELEASE_AGAIN_S = 0.5

UNUSED_OBSERVATION = messages.Observation(
    sent=False,
    failed=False,
    truncated=False,
    first_token_s=-1,
    token_gap_s=-1,
    tokens=0,
)


@dataclasses.dataclass(slots=True)
class _Pending:
    """An attempt without an answer; times are of the local clock."""

    message: messages.AcquireSlot
    deadline: float
    again_at: float


@dataclasses.dataclass(slots=True)
class _Closing:
    """A release that the owner has not acknowledged."""

    message: messages.ReleaseSlot
    again_at: float


class RouterSlots:
    """Open slots of one router; effects are left in the outbox."""

    def __init__(self, node: str, clock: Clock, outbox: Outbox) -> None:
        """Start without slots; ``node`` is the router's id."""
        self._node = node
        self._clock = clock
        self._outbox = outbox
        self._attempts = itertools.count(1)
        self._pending: dict[str, _Pending] = {}
        self._open: dict[str, tuple[messages.SlotAcquired, str]] = {}
        self._closing: dict[tuple[str, int, str], _Closing] = {}
        self._owners: dict[str, str] = {}

    @property
    def open_requests(self) -> tuple[str, ...]:
        """Request ids that hold a slot."""
        return tuple(self._open)

    def acquire(self, wish: messages.AcquireSlot) -> int:
        """
        Return the number of the attempt after asking for a slot.

        A wish for a request that already waits replaces the old one.
        """
        self.cancel(wish.request_id)
        now = self._clock.now()
        wish = dataclasses.replace(wish, attempt=next(self._attempts))
        pending = _Pending(wish, now + wish.deadline_s, now)
        self._pending[wish.request_id] = pending
        self._ask(pending, now)
        return wish.attempt

    def cancel(self, request_id: str) -> None:
        """Give up the wish for a slot, if the request still waits."""
        pending = self._pending.pop(request_id, None)
        if pending is not None:
            self._cancel(pending.message)

    def may_send(self, request_id: str) -> bool:
        """
        Return whether the request may go out now on its grant.

        An old grant is released; the caller then asks for another slot.
        """
        held = self._open.get(request_id)
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
        """End the use of a slot; repeated until the owner acknowledges."""
        held = self._open.pop(request_id, None)
        if held is not None:
            self._close(held[0], held[1], observation)

    @functools.singledispatchmethod
    def handle(self, message: Any) -> Any:
        """Return the answer for the request that waits for it, or None."""
        return None

    @handle.register
    def _(self, message: messages.SlotAcquired) -> Any:
        held = self._open.get(message.request_id)
        if held is not None and _is_same(held[0], message):
            return None
        pending = self._pending.get(message.request_id)
        if pending is None or not self._is_good(pending.message, message):
            self._close(message, self._group_of(message), UNUSED_OBSERVATION)
            self._wish_again(pending, message)
            return None
        self._pending.pop(message.request_id)
        if message.foreign:
            self._cancel(pending.message)
        self._open[message.request_id] = (message, pending.message.group)
        return message

    @handle.register
    def _(self, message: messages.SlotRefused) -> Any:
        pending = self._pending.get(message.request_id)
        if pending is None or pending.message.attempt != message.attempt:
            return None
        self._pending.pop(message.request_id)
        return message

    @handle.register
    def _(self, message: messages.SlotReleased) -> Any:
        key = (message.request_id, message.attempt, message.target)
        self._closing.pop(key, None)
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
            for grant, _ in self._open.values()
            if grant.target in asked
        )
        answer = messages.OpenSlots(self._node, rows, message.ask_id)
        self._outbox.send(message.owner, answer)
        return None

    def tick(self) -> list[str]:
        """Return the requests given up at their deadline; repeat the rest."""
        now = self._clock.now()
        late = [
            request_id
            for request_id, pending in self._pending.items()
            if pending.deadline <= now
        ]
        for request_id in late:
            self.cancel(request_id)
        for pending in self._pending.values():
            if pending.again_at <= now:
                self._ask(pending, now)
        for closing in self._closing.values():
            if closing.again_at <= now:
                closing.again_at = now + RELEASE_AGAIN_S
                self._outbox.send(KEY_OWNER, closing.message)
        return late

    def _is_good(
        self,
        wish: messages.AcquireSlot,
        grant: messages.SlotAcquired,
    ) -> bool:
        """Return whether a grant answers this wish and is in force."""
        owner = self._owners.get(grant.target, grant.owner)
        fresh = self._clock.now() - grant.sent_at <= GRANT_VALID_S
        return (
            grant.attempt == wish.attempt
            and grant.target not in wish.exclude
            and grant.owner == owner
            and fresh
        )

    def _wish_again(
        self,
        pending: _Pending | None,
        grant: messages.SlotAcquired,
    ) -> None:
        """Start a new attempt if the grant of the present one was no good."""
        if pending is None or pending.message.attempt != grant.attempt:
            return
        self._cancel(pending.message)
        pending.message = dataclasses.replace(
            pending.message,
            attempt=next(self._attempts),
        )
        self._ask(pending, self._clock.now())

    def _group_of(self, grant: messages.SlotAcquired) -> str:
        """Return the group under which a request asked, if known."""
        held = self._open.get(grant.request_id)
        pending = self._pending.get(grant.request_id)
        if held is not None:
            return held[1]
        return pending.message.group if pending is not None else ''

    def _ask(self, pending: _Pending, now: float) -> None:
        """Send the wish with the time that is left."""
        pending.again_at = now + ACQUIRE_AGAIN_S
        pending.message = dataclasses.replace(
            pending.message,
            sent_at=now,
            deadline_s=pending.deadline - now,
        )
        self._outbox.send(KEY_OWNER, pending.message)

    def _cancel(self, wish: messages.AcquireSlot) -> None:
        """Tell the owner at home that an attempt is over."""
        self._outbox.send(
            KEY_OWNER,
            messages.CancelAcquire(
                wish.request_id,
                wish.route,
                wish.group,
                wish.attempt,
            ),
        )

    def _close(
        self,
        grant: messages.SlotAcquired,
        group: str,
        observation: messages.Observation,
    ) -> None:
        """Send a release and keep it until it is acknowledged."""
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
        known = self._closing.get(key)
        if known is not None and known.message.observation.sent:
            release = known.message
        again_at = self._clock.now() + RELEASE_AGAIN_S
        self._closing[key] = _Closing(release, again_at)
        self._outbox.send(grant.owner, release)


def _is_same(
    first: messages.SlotAcquired,
    second: messages.SlotAcquired,
) -> bool:
    """Return whether two messages are copies of one grant."""
    return (first.attempt, first.owner, first.target) == (
        second.attempt,
        second.owner,
        second.target,
    )
