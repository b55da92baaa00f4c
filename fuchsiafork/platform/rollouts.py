"""Parses the operator's rollout orders and encodes their status."""

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
    """A rollout order; ``to`` is the new version of the service."""

    model_config = pydantic.ConfigDict(extra='ignore', frozen=True)

    service: str
    to: str
    duration_s: float = pydantic.Field(alias='durationS', gt=0)


def read_order(item: Item, era: int = 0) -> RolloutOrder | None:
    """
    Parse the order in a store item; return None if there is none.

    :param era: era of the store in which the item has its revision.
    """
    if not item.key.startswith(_ORDER_PREFIX) or not item.value:
        return None
    try:
        order = _Order.model_validate_json(item.value)
    except pydantic.ValidationError:
        return None
    return RolloutOrder(
        order.service, order.to, order.duration_s, item.revision, era
    )


def status_key(order: RolloutOrder) -> str:
    """Return the store key of the status of an order."""
    return f'{_STATUS_PREFIX}{order.service}'


def encode_status(order: RolloutOrder, verdict: Verdict) -> bytes:
    """Encode the status of an order for the operator."""
    status = {
        'service': order.service,
        'to': order.version,
        'state': _STATES[verdict],
    }
    return json.dumps(status).encode()
