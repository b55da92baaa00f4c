"""Pydantic models of the settings files."""

import enum
import ipaddress
from typing import Annotated

import pydantic

_MIN_TOKEN_CHARACTERS = 16
_MAX_PORT = 65535


def _check_address(raw: str) -> str:
    """Check that an address has the form ``ip:port``."""
    host, _, port = raw.rpartition(':')
    ipaddress.ip_address(host.removeprefix('[').removesuffix(']'))
    if not port.isdecimal() or int(port) > _MAX_PORT:
        raise ValueError(f'no port in {raw!r}')
    return raw


def _split(raw: object) -> object:
    """Split a comma- or space-separated list."""
    if isinstance(raw, str):
        return tuple(raw.replace(',', ' ').split())
    return raw


Address = Annotated[str, pydantic.AfterValidator(_check_address)]
Addresses = Annotated[
    tuple[Address, ...],
    pydantic.BeforeValidator(_split),
]
Url = Annotated[str, pydantic.Field(pattern=r'^https?://[^/\s]+$')]
Urls = Annotated[
    tuple[Url, ...],
    pydantic.Field(min_length=1),
    pydantic.BeforeValidator(_split),
]
Name = Annotated[str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9._-]{0,63}$')]
Token = Annotated[
    pydantic.SecretStr,
    pydantic.Field(
        min_length=_MIN_TOKEN_CHARACTERS,
        description='Shared secret of the fleet, at least 16 characters.',
    ),
]


class Level(enum.StrEnum):
    """Log levels."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Part(pydantic.BaseModel):
    """Base class of all sections and settings files."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class VmSettings(Part):
    """The VM that the process runs on."""

    name: Name = pydantic.Field(description='Name of the VM.')
    domain: Name = pydantic.Field(description='Failure domain of the VM.')


class KeeperSection(Part):
    """The keeper's addresses and connections."""

    listen: Address = pydantic.Field(
        description='`ip:port` that accepts links from routers and keepers.',
    )
    admin: Address = pydantic.Field(
        description='`ip:port` that serves health, metrics, events and status.',
    )
    peers: Addresses = pydantic.Field(
        default=(),
        description='`ip:port` of other keepers, to discover the fleet.',
    )
    token: Token


class RouterSection(Part):
    """The router's addresses, connections and limits."""

    listen: Address = pydantic.Field(
        description='`ip:port` that accepts connections of callers.',
    )
    admin: Address = pydantic.Field(
        description='`ip:port` that serves health, metrics, events and status.',
    )
    keepers: Addresses = pydantic.Field(
        min_length=1,
        description='`ip:port` of keepers of this failure domain, the one '
        'on this VM first.',
    )
    token: Token
    threads: pydantic.PositiveInt = pydantic.Field(
        default=256,
        description='Worker threads; each open request occupies one.',
    )
    body_limit_bytes: pydantic.PositiveInt = pydantic.Field(
        default=1024 * 1024,
        description='Maximum size of a request body in bytes.',
    )
    header_limit_bytes: pydantic.PositiveInt = pydantic.Field(
        default=64 * 1024,
        description='Maximum total size of the request headers in bytes.',
    )
    read_deadline_s: pydantic.PositiveFloat = pydantic.Field(
        default=30,
        description='Seconds in which a request must be received completely.',
    )
    write_deadline_s: pydantic.PositiveFloat = pydantic.Field(
        default=60,
        description='Seconds without progress after which the connection '
        'of a slow caller is closed.',
    )
    stall_s: pydantic.PositiveFloat = pydantic.Field(
        default=5,
        description='Seconds without progress after which the stream of a '
        "slow caller is paused at its engine and the engine's slot released.",
    )
    drain_wait_s: pydantic.PositiveFloat = pydantic.Field(
        default=30,
        description='Seconds that a stopping router waits for its open '
        'requests before it logs the remaining ones.',
    )
    stream_buffer_bytes: pydantic.PositiveInt = pydantic.Field(
        default=64 * 1024,
        description='Bytes buffered for one stream before reading from its '
        'target pauses.',
    )


class StoreSettings(Part):
    """The platform's key-value service."""

    urls: Urls = pydantic.Field(
        description='URLs of the service, tried in order.',
    )
    timeout_s: pydantic.PositiveFloat = pydantic.Field(
        default=2,
        description='Timeout of a call in seconds.',
    )


class VmListSettings(Part):
    """The platform's list of live and leaving VMs."""

    url: Url | None = pydantic.Field(
        default=None,
        description='URL of the list; without it, no leaving VM is detected.',
    )


class LogSettings(Part):
    """The log on standard output."""

    level: Level = pydantic.Field(
        default=Level.INFO,
        description='Lowest level that is logged: debug, info, warning or '
        'error.',
    )


class KeeperSettings(Part):
    """Settings of `fuchsiafork-keeper`."""

    vm: VmSettings
    keeper: KeeperSection
    store: StoreSettings
    vm_list: VmListSettings = VmListSettings()
    log: LogSettings = LogSettings()


class RouterSettings(Part):
    """Settings of `fuchsiafork-router`."""

    vm: VmSettings
    router: RouterSection
    log: LogSettings = LogSettings()


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
