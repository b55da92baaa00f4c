"""The keys by which messages are routed to their owners."""

import functools
from typing import Any

from fuchsiafork import messages

# Destination of a message for the owner of its routing key. The first keeper
# that receives the message forwards it to the owner.
KEY_OWNER = '@home'


@functools.singledispatch
def routing_key(message: Any) -> str:
    """
    Return the key whose owner handles the message.

    Empty for messages that are sent to a named node.
    """
    return ''


@routing_key.register
def _(message: messages.Reserve) -> str:
    return f'budget:{message.budget}'


@routing_key.register(messages.BindKey)
@routing_key.register(messages.RecordOutcome)
def _(message: Any) -> str:
    return f'key:{message.key}'


@routing_key.register(messages.StartUse)
@routing_key.register(messages.Settle)
def _(message: Any) -> str:
    return f'holder:{message.holder}'


@routing_key.register(messages.AcquireSlot)
@routing_key.register(messages.ReleaseSlot)
@routing_key.register(messages.CancelAcquire)
def _(message: Any) -> str:
    return f'group:{message.group}'
