"""The operators' configuration document."""

from fuchsiafork.configuration.document import (
    Account,
    Budget,
    Document,
    Pool,
    Rollout,
    Route,
    Target,
    Version,
)
from fuchsiafork.configuration.parsing import parse_document

__all__ = (
    'Account',
    'Budget',
    'Document',
    'Pool',
    'Rollout',
    'Route',
    'Target',
    'Version',
    'parse_document',
)
