"""Handles replies that arrive after their request has ended."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.router.commands import SendMessage
from fuchsiafork.router.resources import unused_observation


@functools.singledispatch
def late_reply(message: Any) -> SendMessage | None:
    """
    Return the command that releases a late grant, or None without a grant.

    The driver calls this for a reply whose request has ended. It discards
    the result if it already resends a message with the same ``request_id``
    and ``acknowledged_by``: a cancellation must not overtake a settlement
    in progress.
    """
    return None


@late_reply.register
def _(message: messages.SlotAcquired) -> SendMessage | None:
    return SendMessage(
        messages.ReleaseSlot(
            request_id=message.request_id,
            route=message.route,
            group='',
            target=message.target,
            version=message.version,
            owner=message.owner,
            observation=unused_observation(),
        ),
        destination=message.owner,
        acknowledged_by=messages.SlotReleased,
    )


@late_reply.register
def _(message: messages.Reserved) -> SendMessage | None:
    return SendMessage(
        messages.Settle(
            request_id=message.request_id,
            budget=message.budget,
            account='',
            holder=message.holder,
            tokens=0,
            key=message.request_id,
        ),
        acknowledged_by=messages.SettleAccepted,
    )
