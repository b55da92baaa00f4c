"""Options that several commands share."""

import dataclasses
import getpass
import time
import uuid
from typing import Annotated

import cyclopts

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.configuration import Change, ConfigurationStore


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True, slots=True)
class StoreOptions:
    """Options for the connection to the key-value service."""

    store: Annotated[
        str,
        cyclopts.Parameter(
            env_var='FUCHSIAFORK_STORE',
            help='Addresses of the key-value service, separated by commas.',
        ),
    ]
    timeout_s: Annotated[
        float,
        cyclopts.Parameter(help='Seconds until a call to the service fails.'),
    ] = 2.0

    def connect(self) -> StoreClient:
        """Return a client of the key-value service."""
        return StoreClient(self.store.split(','), self.timeout_s)

    def document(self) -> ConfigurationStore:
        """Return the store of the configuration document."""
        return ConfigurationStore(self.connect())


@cyclopts.Parameter(name='*')
@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Options that identify a change and its author."""

    author: Annotated[
        str,
        cyclopts.Parameter(help='Name of the author in the history.'),
    ] = dataclasses.field(default_factory=getpass.getuser)
    change_id: Annotated[
        str,
        cyclopts.Parameter(
            help='Id of a change to retry after a lost answer; new if absent.',
            show_default=False,
        ),
    ] = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)

    def change(self, owner: str) -> Change:
        """Return the change to apply."""
        return Change(self.change_id, owner, self.author, time.time())


Admin = Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        env_var='FUCHSIAFORK_ADMIN',
        help='ip:port of an admin server; the others are discovered.',
    ),
]
AsJson = Annotated[
    bool,
    cyclopts.Parameter(name='--json', negative='', help='Print JSON.'),
]
