"""Settings of a VM, loaded from the platform's settings file."""

import os
from pathlib import Path
from typing import Any

import pydantic

from fuchsiafork.kernel.errors import SettingsError
from fuchsiafork.platform.validation_errors import describe_error

PATH_VARIABLE = 'FUCHSIAFORK_NODE_FILE'
DEFAULT_PATH = '/etc/fuchsiafork/node.conf'


class _Section(pydantic.BaseModel):
    """Part of the settings; unknown fields are ignored."""

    model_config = pydantic.ConfigDict(
        extra='ignore',
        frozen=True,
        populate_by_name=True,
    )


class Bounds(_Section):
    """Operational limits agreed with the platform."""

    grace_s: float = pydantic.Field(
        8.0,
        alias='graceS',
        description='Seconds from SIGTERM to SIGKILL.',
    )
    retry_ratio: float = pydantic.Field(
        0.2,
        alias='retryBudgetRatio',
        description='Retries that the whole fleet may send per request.',
    )
    retry_extra: float = pydantic.Field(
        20.0,
        alias='budgetExtra',
        description='Additional retries of the whole fleet per window.',
    )
    retry_window_s: float = pydantic.Field(
        10.0,
        alias='budgetWindowS',
        description='Length of that window in seconds.',
    )


class Listen(_Section):
    """Addresses that the process listens on, as IP:PORT."""

    callers: str = pydantic.Field(
        alias='front', description='Accepts connections of callers.'
    )
    readiness: str = pydantic.Field(
        alias='ready', description='Answers the load balancer.'
    )


class StoreSection(_Section):
    """Settings of the platform's store."""

    address: str = pydantic.Field(description='`ip:port` of the store.')


class VmLimits(_Section):
    """Resources of the VM."""

    link_mbps: float | None = pydantic.Field(
        None,
        alias='linkMbps',
        description='Bandwidth of the network link in Mbit/s, if known.',
    )
    memory_mb: float = pydantic.Field(
        256.0,
        alias='memoryMb',
        ge=64,
        description=(
            'Resident memory in megabytes above which the process is ended. '
            'Bounds what callers and kept answers may take.'
        ),
    )
    max_fds: int | None = pydantic.Field(
        None,
        alias='maxFds',
        ge=1,
        description=(
            'Descriptors that the process may open. Bounds the connections '
            'of callers; without it, the limit of the operating system does.'
        ),
    )


class VmSettings(_Section):
    """Settings of a gateway process."""

    vm: str = pydantic.Field(alias='node', description='Name of the VM.')
    domain: str = pydantic.Field(
        alias='zone', description='Failure domain of the VM.'
    )
    ip: str = pydantic.Field(
        description='Address for metrics and for other VMs.'
    )
    inner_ports: str = pydantic.Field(
        alias='internalPorts',
        description='First and last port for traffic between the VMs.',
    )
    metrics_port: int = pydantic.Field(
        9464,
        alias='metricsPort',
        ge=1,
        description=(
            'Port for metrics and status; not assigned by the platform.'
        ),
    )
    exchange_loads: bool = pydantic.Field(
        default=False,
        alias='exchangeLoads',
        description=(
            'Whether the VMs of a large fleet tell each other their load, '
            'which turns on the choice of engines by work and admission.'
        ),
    )
    listen: Listen
    store: StoreSection = pydantic.Field(alias='platform')
    bounds: Bounds = Bounds.model_validate({})
    limits: VmLimits = VmLimits.model_validate({})

    @property
    def metrics_address(self) -> str:
        """Address of the metrics and status pages, IP:PORT."""
        return f'{self.ip}:{self.metrics_port}'

    @property
    def peer_address(self) -> str:
        """Address for calls from other VMs, IP:PORT."""
        return f'{self.ip}:{self.inner_ports.partition(",")[0]}'


def settings_path() -> Path:
    """Return the path of the settings file."""
    return Path(os.environ.get(PATH_VARIABLE, DEFAULT_PATH))


def load_vm_settings(path: Path) -> VmSettings:
    """
    Load and validate a settings file.

    :raises SettingsError: with all errors, one per line.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from None
    try:
        return VmSettings.model_validate(_parse_properties(text))
    except pydantic.ValidationError as error:
        lines = [
            f'{path}: {describe_error(details)} (code {SettingsError.code})'
            for details in error.errors()
        ]
    raise SettingsError('\n'.join(lines))


def _parse_properties(text: str) -> dict[str, Any]:
    """Parse lines of the form ``a.b=value`` into nested dictionaries."""
    tables: dict[str, Any] = {}
    for line in text.splitlines():
        name, separator, value = line.partition('=')
        if separator:
            _set_nested(tables, name.strip().split('.'), value.strip())
    return tables


def _set_nested(tables: dict[str, Any], parts: list[str], value: str) -> None:
    """Set a value in nested dictionaries by the parts of its name."""
    table = tables
    for part in parts[:-1]:
        child = table.setdefault(part, {})
        if not isinstance(child, dict):
            return
        table = child
    table[parts[-1]] = value
