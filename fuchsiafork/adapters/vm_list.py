"""Client of the platform's list of VMs."""

import dataclasses
import enum
from typing import Any

import pydantic
import urllib3

from fuchsiafork.kernel.errors import MessageFormatError

_HTTP_OK = 200


class VmState(enum.StrEnum):
    """State of a VM as reported by the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclasses.dataclass(frozen=True, slots=True)
class ListedVm:
    """
    One VM of the list, which may be out of date.

    :ivar address: IP address of the VM.
    """

    name: str
    address: str
    state: VmState


_ADAPTER: pydantic.TypeAdapter[tuple[ListedVm, ...]] = pydantic.TypeAdapter(
    tuple[ListedVm, ...],
)


class VmListError(MessageFormatError):
    """The list could not be read; the caller keeps its previous list."""


class VmListClient:
    """Reads the VM list over HTTP."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Read from a base URL; a call times out after ``timeout_s``."""
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
        return _parse_list(response.data)


def _parse_list(raw: bytes | Any) -> tuple[ListedVm, ...]:
    """Parse and validate the JSON of a list."""
    try:
        return _ADAPTER.validate_json(raw)
    except pydantic.ValidationError as error:
        first_error = error.errors()[0]
    raise VmListError(
        f'VM list: {first_error["loc"]!r}: {first_error["msg"]}',
    )
