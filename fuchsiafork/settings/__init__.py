"""Settings files of the server programs: models and loading."""

from fuchsiafork.settings.loading import load_settings
from fuchsiafork.settings.models import (
    KeeperSettings,
    LogSettings,
    RouterSettings,
    StoreSettings,
    VmListSettings,
    VmSettings,
    split_address,
)

__all__ = (
    'KeeperSettings',
    'LogSettings',
    'RouterSettings',
    'StoreSettings',
    'VmListSettings',
    'VmSettings',
    'load_settings',
    'split_address',
)
