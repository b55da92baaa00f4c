"""Reads the operator's orders for new versions and reports on them."""

import json

import pydantic

from fuchsiafork.gateway.canary import RolloutOrder, Verdict
from fuchsiafork.platform.store import Item

_ORDER_PREFIX = 'op/rollout/'
_STATUS_PREFIX = 'status/rollout/'
_STATES = {
    Verdict.NONE: 'running',
    Verdict.GOOD: 'completed',
    Verdict.BAD: 'rolled_back',
}


class _Order(pydantic.BaseModel):
    """An order; ``to`` is the version that the service moves to."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    service: str
    to: str
    duration_s: float = pydantic.Field(alias='durationS', gt=0)


def read_order(item: Item) -> RolloutOrder | None:
    """Return the order that an item holds, None if it holds none."""
    if not item.key.startswith(_ORDER_PREFIX) or not item.value:
        return None
    try:
        order = _Order.model_validate_json(item.value)
    except pydantic.ValidationError:
        return None
    return RolloutOrder(
        order.service, order.to, order.duration_s, item.revision
    )


def status_key(order: RolloutOrder) -> str:
    """Return the key under which the operator reads the state of an order."""
    return f'{_STATUS_PREFIX}{order.service}'


def encode_status(order: RolloutOrder, verdict: Verdict) -> bytes:
    """Return the state of an order in the operator's form."""
    status = {
        'service': order.service,
        'to': order.version,
        'state': _STATES[verdict],
    }
    return json.dumps(status).encode()
