"""The key by which a message finds its home."""

import functools
from typing import Any

from fuchsiafork import messages

# Destination of a message that its first keeper forwards to the home.
HOME = '@home'


@functools.singledispatch
def home_key(message: Any) -> str:
    """
    Return the key whose first-ranked keeper takes the message.

    Empty for messages that go to a named node.
    """
    return ''


@home_key.register
def _(message: messages.Reserve) -> str:
    return f'budget:{message.budget}'


@home_key.register(messages.BindKey)
@home_key.register(messages.RecordOutcome)
def _(message: Any) -> str:
    return f'key:{message.key}'


@home_key.register(messages.StartUse)
@home_key.register(messages.Settle)
def _(message: Any) -> str:
    return f'holder:{message.holder}'


@home_key.register(messages.AcquireSlot)
@home_key.register(messages.ReleaseSlot)
@home_key.register(messages.CancelAcquire)
def _(message: Any) -> str:
    return f'group:{message.group}'
