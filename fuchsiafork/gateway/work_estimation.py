"""Estimates the work of an admitted request."""

from fuchsiafork.balancing import PromptParts, RequestSize
from fuchsiafork.balancing.request_work import RequestKind, RequestWork
from fuchsiafork.gateway.configuration import Route, Service
from fuchsiafork.gateway.request_record import RequestRecord
from fuchsiafork.gateway.shared_state import SharedState
from fuchsiafork.platform.headers import RequestMetadata

_NO_ENGINE = Service('')


def estimate_work(
    shared: SharedState,
    record: RequestRecord,
    route: Route,
    service: Service | None,
    metadata: RequestMetadata,
) -> RequestWork:
    """Return the expected work of a request, and count it for its account."""
    engine = service or _NO_ENGINE
    work = RequestWork(
        shared.learned_work,
        RequestKind(
            record.service,
            engine.event_tokens,
            engine.memory_tokens,
            route.latency_objective_s,
        ),
        RequestSize(
            record.route,
            record.account,
            metadata.prompt_tokens,
            metadata.output_tokens,
            metadata.hinted_tokens,
        ),
        PromptParts(metadata.prompt_parts, metadata.part_tokens),
    )
    if engine.event_tokens:
        shared.account_use.record(record.account, work.cost.units)
    return work


__all__ = ('estimate_work',)
