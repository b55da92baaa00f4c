"""Estimates the time from a request to the first event of its answer."""

from fuchsiafork.balancing.costs import TargetLoad, WorkCost
from fuchsiafork.balancing.target_speeds import Speed


def estimate_engine_s(
    load: TargetLoad,
    cost: WorkCost,
    speed: Speed,
    slots: int,
    event_tokens: int,
) -> float:
    """
    Return the time to the first event of an engine, in seconds.

    :param load: the work ahead.
    :param cost: the work, without the parts of the prompt that it holds.
    """
    tokens = load.prompt_tokens + cost.prompt_tokens
    prefill_s = tokens * speed.prompt_token_s
    first_event_s = event_tokens * speed.output_token_s
    output_s = load.output_tokens * speed.output_token_s
    return prefill_s + first_event_s + _wait_s(load, output_s, slots)


def estimate_service_s(
    load: TargetLoad, cost: WorkCost, speed: Speed, slots: int
) -> float:
    """Return the time to the answer of a target that is no engine."""
    service_s = load.seconds * speed.service_factor
    own_s = cost.seconds * speed.service_factor
    return own_s + _wait_s(load, service_s, slots)


def _wait_s(load: TargetLoad, total_s: float, slots: int) -> float:
    """
    Return the wait for a place, in seconds.

    :param total_s: time of all requests ahead, if served one after another.
    """
    waiting = load.requests - slots + 1
    if waiting <= 0:
        return 0.0
    mean_s = total_s / load.requests
    return waiting * mean_s / slots


__all__ = ('estimate_engine_s', 'estimate_service_s')
