"""Parses the operator's configuration and the targets' store entries."""

import ipaddress
import json
from typing import Annotated

import pydantic
import pydantic.alias_generators

from fuchsiafork.gateway.configuration import (
    Account,
    CallKind,
    Configuration,
    Route,
    Service,
    Split,
    digest_key,
    sort_routes,
)
from fuchsiafork.gateway.targets import Target
from fuchsiafork.kernel.errors import ConfigurationError
from fuchsiafork.platform.validation_errors import describe_error
from fuchsiafork.transport.caller import CallerLimits

_MS_PER_S = 1000.0
_MAX_PORT = 65_535
_MAX_SLOTS = 1_000_000
_MAX_SIZE = 1_000_000_000
_KINDS = {
    'safe': CallKind.IDEMPOTENT,
    'unsafe': CallKind.NON_IDEMPOTENT,
    'streaming': CallKind.STREAM,
}


class _Model(pydantic.BaseModel):
    """Part of a document; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        alias_generator=pydantic.alias_generators.to_camel,
    )


class _Split(_Model):
    service: str
    weight: float = pydantic.Field(ge=0)


class _Route(_Model):
    name: str
    host: str
    prefix: str
    kind: str
    service: str = ''
    traffic_split: list[_Split] = []
    timeout_ms: float = pydantic.Field(15_000, gt=0)
    target_latency_ms: float = 1000
    max_attempts: int = pydantic.Field(1, ge=1)
    priority: int = 0
    public: bool = False
    session_affinity: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = 0


def _read_size(value: object) -> int:
    """
    Return a size, 0 if it is none.

    Sizes only improve the choice of targets, so that an odd one must not make
    the whole configuration invalid.
    """
    if isinstance(value, int) and 0 < value <= _MAX_SIZE:
        return int(value)
    return 0


_Size = Annotated[int, pydantic.BeforeValidator(_read_size)]


class _Engine(_Model):
    # Maximum number of tokens in one event of a stream.
    stride: int = 1
    # Requests that an engine serves at a time.
    slots: _Size = 0
    # Tokens that its memory holds.
    kv_capacity_tokens: _Size = 0


class _Service(_Model):
    name: str
    engine: _Engine | None = None


class _Limits(_Model):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _Tenant(_Model):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class _Document(_Model):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    # None if the configuration has no client accounts: no key is required.
    tenants: list[_Tenant] | None = None


def _check_address(address: str) -> str:
    """
    Return an address that can be called.

    :raises ValueError: if it is not an IPv4 address with a port.
    """
    host, _, port = address.rpartition(':')
    ipaddress.IPv4Address(host)
    if not port.isascii() or not port.isdecimal():
        raise ValueError(f'{port!r} is no port')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return address


class _Entry(_Model):
    """
    Store entry that a target writes about itself.

    ``seq`` and ``coldLeftMs`` change with each heartbeat and are ignored.
    """

    service: str = pydantic.Field(min_length=1, strict=True)
    address: Annotated[str, pydantic.AfterValidator(_check_address)]
    zone: str = pydantic.Field(strict=True)
    version: str = pydantic.Field(strict=True)
    slots: int = pydantic.Field(gt=0, le=_MAX_SLOTS, strict=True)
    state: str = pydantic.Field(pattern='^(ready|draining)$', strict=True)
    born: int = pydantic.Field(0, strict=True)


def parse_configuration(value: bytes) -> Configuration:
    """
    Parse a configuration document.

    :raises ConfigurationError: with all invalid fields.
    """
    try:
        document = _Document.model_validate_json(value)
    except pydantic.ValidationError as error:
        reasons = '; '.join(map(describe_error, error.errors()))
        raise ConfigurationError(reasons) from None
    tenants = document.tenants or []
    return Configuration(
        version=document.version,
        routes=sort_routes([
            _convert_route(route) for route in document.routes
        ]),
        services={
            service.name: _convert_service(service)
            for service in document.services
        },
        accounts={
            digest_key(key): Account(
                tenant.name,
                tenant.priority,
                tenant.prepaid,
            )
            for tenant in tenants
            for key in tenant.api_keys
        },
        limits=_convert_limits(document.limits),
        requires_key=document.tenants is not None,
    )


def read_target(target_id: str, value: bytes) -> Target | None:
    """Parse a target's store entry; return None if it is invalid."""
    try:
        entry = _Entry.model_validate(json.loads(value))
    except (ValueError, RecursionError):
        return None
    return Target(
        target_id=target_id,
        service=entry.service,
        address=entry.address,
        domain=entry.zone,
        version=entry.version,
        slots=entry.slots,
        leaving=entry.state == 'draining',
        started_unix_ms=entry.born,
    )


def _convert_route(route: _Route) -> Route:
    """Convert a route of the document."""
    if route.kind not in _KINDS:
        raise ConfigurationError(f'route {route.name!r}: kind {route.kind!r}')
    splits = tuple(
        Split(split.service, split.weight)
        for split in route.traffic_split
        if split.weight > 0
    )
    return Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        kind=_KINDS[route.kind],
        timeout_s=route.timeout_ms / _MS_PER_S,
        latency_objective_s=route.target_latency_ms / _MS_PER_S,
        priority=route.priority,
        splits=splits or (Split(route.service, 1),),
        max_targets=route.max_attempts,
        public=route.public,
        affinity=route.session_affinity,
        resumable=route.stream_resume,
        event_gap_objective_s=route.gap_aim_ms / _MS_PER_S,
    )


def _convert_service(service: _Service) -> Service:
    """Convert a service of the document."""
    engine = service.engine
    return Service(
        name=service.name,
        event_tokens=engine.stride if engine else 0,
        slots=engine.slots if engine else 0,
        memory_tokens=engine.kv_capacity_tokens if engine else 0,
    )


def _convert_limits(limits: _Limits) -> CallerLimits:
    """Convert the limits on caller connections."""
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
        idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
    )
