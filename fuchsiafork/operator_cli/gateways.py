"""Commands for gateways."""

import json
from pathlib import Path
from typing import Annotated, Any

import cyclopts
import urllib3

from fuchsiafork.kernel.errors import (
    ConfigurationError,
    StoreUnavailableError,
)
from fuchsiafork.operator_cli.options import AsJson
from fuchsiafork.operator_cli.output import Exit, show_rows
from fuchsiafork.platform.documents import parse_configuration
from fuchsiafork.platform.settings import load_vm_settings

CALL_TIMEOUT_S = 2.0

_NOT_FOUND = 404

GatewayAddress = Annotated[
    str,
    cyclopts.Parameter(help='IP:PORT of the metrics endpoint of a VM.'),
]

app = cyclopts.App(name='gateway', help='Check and show gateways.')


@app.command
def check(
    *,
    settings: Path | None = None,
    configuration: Path | None = None,
) -> int:
    """
    Validate files in the format of the platform before use.

    :param settings: settings file of a VM.
    :param configuration: configuration file as written by an operator.
    """
    if settings is not None:
        vm_settings = load_vm_settings(settings)
        print(f'{settings}: VM {vm_settings.vm!r} in {vm_settings.domain!r}')
    if configuration is not None:
        _check_configuration(configuration)
    return Exit.OK


@app.command
def status(
    address: GatewayAddress,
    *,
    json_form: AsJson = False,
) -> int:
    """Show the configuration in force on a VM and the age of its data."""
    vm_status = _fetch_status(address)
    if json_form:
        print(json.dumps(vm_status))
        return Exit.OK
    print(f'configuration {vm_status["configuration"]}')
    ages = ', '.join(
        f'{name} {age} s' for name, age in vm_status['ages_s'].items()
    )
    print(f'contact: {ages}')
    show_rows(vm_status['targets'], as_json=False)
    show_rows(
        [
            {'account': account, 'tokens': tokens}
            for account, tokens in vm_status['tokens'].items()
        ],
        as_json=False,
    )
    for service, rollout in vm_status['rollouts'].items():
        print(f'rollout of {service}: {rollout}')
    return Exit.OK


@app.command
def quarantine(address: GatewayAddress, *, json_form: AsJson = False) -> int:
    """Show the parts of requests that no target gets, as a VM knows them."""
    show_rows(_fetch_status(address)['quarantine'], as_json=json_form)
    return Exit.OK


@app.command
def release(address: GatewayAddress, part: str) -> int:
    """
    Let targets get a part in quarantine again, on all VMs.

    :param part: as the refusal or the list of the quarantine names it.
    """
    response = _call('POST', address, '/quarantine/release', part.encode())
    if response.status == _NOT_FOUND:
        print(f'{part}: not in quarantine on this VM')
        return Exit.NOT_FOUND
    print(f'{part}: released')
    return Exit.OK


def _check_configuration(path: Path) -> None:
    """
    Validate a configuration and print a summary.

    :raises ConfigurationError: with the file and each invalid field.
    """
    try:
        configuration = parse_configuration(path.read_bytes())
    except OSError as error:
        raise ConfigurationError(f'{path}: {error}') from None
    except ConfigurationError as error:
        raise ConfigurationError(f'{path}: {error}') from None
    routes = sum(len(rows) for rows in configuration.routes.values())
    print(
        f'{path}: version {configuration.version}, {routes} routes, '
        f'{len(configuration.services)} services, '
        f'{len(configuration.prepaid)} budgets',
    )


def _fetch_status(address: str) -> dict[str, Any]:
    """
    Fetch the status of a VM.

    :raises StoreUnavailableError: if it doesn't answer.
    """
    response = _call('GET', address, '/status')
    try:
        return dict(response.json())
    except ValueError as error:
        raise StoreUnavailableError(f'{address}: {error}') from None


def _call(
    method: str, address: str, path: str, body: bytes = b''
) -> urllib3.BaseHTTPResponse:
    """
    Call a VM.

    :raises StoreUnavailableError: if it doesn't answer.
    """
    try:
        return urllib3.request(
            method,
            f'http://{address}{path}',
            body=body or None,
            timeout=CALL_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as error:
        raise StoreUnavailableError(f'{address}: {error}') from None
