"""Which version the next request of a route goes to."""

from typing import Protocol

from fuchsiafork.configuration import Document
from fuchsiafork.messages import Observation


class VersionPolicy(Protocol):
    """Chooses versions and learns from what became of the requests."""

    def choose(self, route: str) -> str:
        """Return the version that the next request goes to."""

    def started(self, route: str, version: str) -> None:
        """Take note that a request is sent to a version."""

    def ended(
        self,
        route: str,
        version: str,
        observation: Observation,
    ) -> None:
        """
        Take note that a slot was released.

        It can come without ``started`` when ownership moved in between.
        """


class FixedVersions:
    """The version that the configuration names for each route."""

    def __init__(self) -> None:
        """Start without routes."""
        self._versions: dict[str, str] = {}

    def configure(self, document: Document) -> None:
        """Take the routes of a configuration."""
        self._versions = {
            name: route.version for name, route in document.routes.items()
        }

    def choose(self, route: str) -> str:
        """Return the configured version, empty for an unknown route."""
        return self._versions.get(route, '')

    def started(self, route: str, version: str) -> None:
        """Do nothing; the version is fixed."""

    def ended(
        self,
        route: str,
        version: str,
        observation: Observation,
    ) -> None:
        """Do nothing; the version is fixed."""
