"""Index of the configuration for the lookups of the router."""

import hashlib
from collections.abc import Iterable

from fuchsiafork.configuration import Account, Document, Route
from fuchsiafork.kernel.errors import (
    KeeperUnavailableError,
    RouteNotFoundError,
    UnauthorizedError,
)

_SCHEME = 'bearer '


class Directory:
    """Looks up accounts by bearer token and routes by name."""

    def __init__(
        self,
        document: Document,
        revision: int,
        domain: str,
    ) -> None:
        """Index a document for a router in a failure domain."""
        self.document = document
        self.domain = domain
        self.revision = revision
        self._accounts = {
            account.token_sha256: name
            for name, account in document.accounts.items()
        }

    def authenticate(self, authorization: str) -> tuple[str, Account]:
        """
        Return name and section of the caller's client account.

        The token is looked up only by its digest, so neither log lines nor
        comparison times reveal anything about it.

        :raises UnauthorizedError: if the token belongs to no account.
        """
        if not self.revision:
            raise KeeperUnavailableError(
                'no configuration yet',
                retry_after=1,
            )
        scheme, token = (
            authorization[: len(_SCHEME)].lower(),
            authorization[len(_SCHEME) :].strip(),
        )
        digest = hashlib.sha256(token.encode()).hexdigest()
        name = self._accounts.get(digest)
        if scheme != _SCHEME or name is None:
            raise UnauthorizedError('the bearer token is unknown')
        return name, self.document.accounts[name]

    def route(self, name: str, account: Account) -> Route:
        """
        Return a route that the account may use.

        :raises RouteNotFoundError: if there is none.
        """
        route = self.document.routes.get(name)
        if route is None or not _may_use(account.routes, name):
            raise RouteNotFoundError(f'no route {name!r}')
        return route


def _may_use(allowed: Iterable[str], name: str) -> bool:
    """Return whether a route is allowed; an empty list allows all."""
    names = tuple(allowed)
    return not names or name in names
