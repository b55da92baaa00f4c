"""Finds the route and the client account of a request."""

from fuchsiafork.gateway.configuration import Account, Configuration, Route
from fuchsiafork.kernel.errors import RouteNotFoundError, UnauthorizedError
from fuchsiafork.platform.headers import RequestMetadata
from fuchsiafork.transport.caller import CallerRequest


def match_request(
    configuration: Configuration,
    request: CallerRequest,
    metadata: RequestMetadata,
) -> tuple[Route, Account | None]:
    """
    Return the route of a request, and its client account, if any.

    :raises RouteNotFoundError: if there is no route.
    :raises UnauthorizedError: if the key belongs to no client account.
    """
    route = configuration.find_route(request.header('host'), request.path)
    if route is None:
        raise RouteNotFoundError('no route for this host and path')
    return route, _find_account(configuration, route, metadata)


def _find_account(
    configuration: Configuration, route: Route, metadata: RequestMetadata
) -> Account | None:
    """
    Return the account of a request, None if none is required.

    :raises UnauthorizedError: if the key belongs to no client account.
    """
    if not configuration.requires_key:
        return None
    account = configuration.find_account(metadata.key) if metadata.key else None
    if account is None and not route.public:
        raise UnauthorizedError('the key belongs to no client account')
    return account


__all__ = ('match_request',)
