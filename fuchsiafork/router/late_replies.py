"""Replies that arrive after the request that asked has ended."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.router.commands import SendMessage
from fuchsiafork.router.resources import unused_observation


@functools.singledispatch
def late_reply(message: Any) -> SendMessage | None:
    """
    Return what gives a late grant back, or None if it grants nothing.

    The driver calls this for a reply whose request has ended. It drops the
    result if it already repeats a message with the same ``request_id`` and
    ``acknowledged_by``: a settlement under way must not be overtaken by a
    cancellation.
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
