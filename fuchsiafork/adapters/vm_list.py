"""Client of the platform's list of live and leaving VMs."""

import dataclasses
import enum
from typing import Any

import pydantic
import urllib3

from fuchsiafork.kernel.errors import MessageFormatError

_HTTP_OK = 200


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """
    One VM of the list, which lags behind the actual state.

    :ivar address: IP address of the VM.
    """

    name: str
    address: str
    state: VmState


_ADAPTER: pydantic.TypeAdapter[tuple[ListedVm, ...]] = pydantic.TypeAdapter(
    tuple[ListedVm, ...],
)


class VmListError(MessageFormatError):
    """The list could not be read; the caller keeps the one it has."""


class VmListClient:
    """Reads the list over HTTP."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Keep the address; each call may take ``timeout_s`` seconds."""
        self._url = f'{url.rstrip("/")}/v1/vms'
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(timeout_s, timeout_s),
        )

    def fetch(self) -> tuple[ListedVm, ...]:
        """
        Return the VMs that the platform lists.

        :raises VmListError: if the list cannot be read.
        """
        try:
            response = self._pool.request('GET', self._url)
        except urllib3.exceptions.HTTPError as error:
            raise VmListError(f'{self._url}: {error!r}') from None
        if response.status != _HTTP_OK:
            raise VmListError(f'{self._url}: status {response.status}')
        return _read(response.data)


def _read(raw: bytes | Any) -> tuple[ListedVm, ...]:
    """Return the VMs of a list."""
    try:
        return _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as error:
        fault = error.errors()[0]
    raise VmListError(f'VM list: {fault["loc"]!r}: {fault["msg"]}')
