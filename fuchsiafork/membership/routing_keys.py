"""The key by which a message finds its home."""

import functools
from typing import Any

from fuchsiafork import messages

# Destination of a message that its first keeper forwards to the home.
KEY_OWNER = '@home'


@functools.singledispatch
def routing_key(message: Any) -> str:
    """
    Return the key whose first-ranked keeper takes the message.

    Empty for messages that go to a named node.
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
