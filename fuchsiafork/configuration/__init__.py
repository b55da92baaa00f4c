"""The operators' configuration document, its store and its spread."""

from fuchsiafork.configuration.copy import ConfigurationCopy
from fuchsiafork.configuration.document import (
    Account,
    Budget,
    Document,
    Kind,
    Pool,
    Rollout,
    Route,
    Target,
    Version,
)
from fuchsiafork.configuration.head import HEAD_KEY, Change, Head
from fuchsiafork.configuration.parsing import parse_document
from fuchsiafork.configuration.store import ConfigurationStore
from fuchsiafork.configuration.system import ConfigurationSystem
from fuchsiafork.configuration.watching import HeadWatcher

__all__ = (
    'HEAD_KEY',
    'Account',
    'Budget',
    'Change',
    'ConfigurationCopy',
    'ConfigurationStore',
    'ConfigurationSystem',
    'Document',
    'Head',
    'HeadWatcher',
    'Kind',
    'Pool',
    'Rollout',
    'Route',
    'Target',
    'Version',
    'parse_document',
)
