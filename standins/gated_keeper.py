"""Runs the keeper with its links through gates, for cut failure domains."""

import asyncio
import json
import pathlib
import sys
from typing import Any

from fuchsiafork.keeper import __main__ as keeper

_connect = asyncio.BaseEventLoop.create_connection


def main() -> None:
    """
    Run the keeper of a settings file.

    The file's neighbour with the suffix ``.gates`` maps the addresses that
    keepers tell each other to the gates of this keeper.
    """
    path = pathlib.Path(sys.argv[1]).with_suffix('.gates')
    gates: dict[str, str] = json.loads(path.read_text(encoding='utf-8'))

    async def create_connection(
        loop: asyncio.BaseEventLoop,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **more: Any,
    ) -> Any:
        """Connect to the gate of an address, if it has one."""
        given = f'{host}:{port}'
        found, _, at = gates.get(given, given).rpartition(':')
        if given in gates:
            return await _connect(loop, factory, found, int(at), **more)
        return await _connect(loop, factory, host, port, **more)

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[assignment,method-assign]
    keeper.main()


if __name__ == '__main__':
    main()
