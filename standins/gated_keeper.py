"""Runs the keeper with its links to other domains through proxies."""

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

    The JSON file next to it with the suffix ``.gates`` maps the addresses that
    keepers publish to the proxy addresses of this keeper.
    """
    path = pathlib.Path(sys.argv[1]).with_suffix('.gates')
    proxies: dict[str, str] = json.loads(path.read_text(encoding='utf-8'))

    async def create_connection(
        loop: asyncio.BaseEventLoop,
        factory: Any,
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> Any:
        """Connect to the proxy of an address if it has one, else directly."""
        address = f'{host}:{port}'
        proxy_host, _, proxy_port = proxies.get(address, address).rpartition(
            ':'
        )
        if address in proxies:
            return await _connect(
                loop, factory, proxy_host, int(proxy_port), **options
            )
        return await _connect(loop, factory, host, port, **options)

    asyncio.BaseEventLoop.create_connection = create_connection  # type: ignore[assignment,method-assign]
    keeper.main()


if __name__ == '__main__':
    main()
