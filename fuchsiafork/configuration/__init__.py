"""The operators' configuration document, its storage and distribution."""

from fuchsiafork.configuration.active import ActiveConfiguration
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
from fuchsiafork.configuration.head_watcher import HeadWatcher
from fuchsiafork.configuration.parsing import parse_document
from fuchsiafork.configuration.store import ConfigurationStore
from fuchsiafork.configuration.system import ConfigurationSystem

__all__ = (
    'HEAD_KEY',
    'Account',
    'ActiveConfiguration',
    'Budget',
    'Change',
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
