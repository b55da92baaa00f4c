"""Policies that choose the version for the next request of a route."""

from typing import Protocol

from fuchsiafork.configuration import Document
from fuchsiafork.messages import Observation


class VersionPolicy(Protocol):
    """Chooses versions and observes the outcomes of requests."""

    def choose(self, route: str) -> str:
        """Return the version for the next request."""

    def started(self, route: str, version: str) -> None:
        """Record that a slot of a version was granted."""

    def ended(
        self,
        route: str,
        version: str,
        observation: Observation,
    ) -> None:
        """
        Record that a slot was released.

        ``started`` was not called for the slot if another keeper granted it
        and the group's ownership has moved here since.
        """


class FixedVersions:
    """Chooses the configured version of each route."""

    def __init__(self) -> None:
        """Start without routes."""
        self._versions: dict[str, str] = {}

    def configure(self, document: Document) -> None:
        """Use the routes of a configuration."""
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
