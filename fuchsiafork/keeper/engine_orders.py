"""Sends load orders to engines and queries the version they have loaded."""

import concurrent.futures
import functools
from collections.abc import Callable
from typing import Any

from fuchsiafork.adapters.engine import EngineClient
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import FuchsiaforkError
from fuchsiafork.rollouts.loading_messages import (
    AskLoaded,
    LoadedVersion,
    LoadOrder,
    OrderRefused,
)

MAX_ENGINE_CALLS = 4


class EngineOrderExecutor:
    """Executes the messages sent to ``@engines`` in a thread pool."""

    def __init__(
        self,
        engines: EngineClient,
        document: Callable[[], Document],
        receive: Callable[[Any], None],
    ) -> None:
        """Pass replies to ``receive``, which is called from pool threads."""
        self._engines = engines
        self._document = document
        self._receive = receive
        self._executor = concurrent.futures.ThreadPoolExecutor(
            MAX_ENGINE_CALLS,
            thread_name_prefix='orders',
        )

    def submit(self, message: Any) -> None:
        """Execute a message for an engine in the background."""
        self._executor.submit(self._execute, message)

    def close(self) -> None:
        """Shut down the thread pool and cancel the calls not yet started."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    @functools.singledispatchmethod
    def _execute(self, message: Any) -> None:
        """Execute a message; types without a handler are ignored."""

    @_execute.register
    def _(self, message: LoadOrder) -> None:
        url = self._url(message.target)
        order = {
            'order_id': message.order,
            'fence': message.fence,
            'version': message.version,
            'artifact': message.artifact,
        }
        try:
            accepted = self._engines.send_order(url, order)
        except FuchsiaforkError:
            # Whether the order arrived shows in the next reply to AskLoaded.
            return
        if not accepted:
            self._receive(
                OrderRefused(message.target, message.order, message.fence),
            )

    @_execute.register
    def _(self, message: AskLoaded) -> None:
        try:
            state = self._engines.fetch_order_state(self._url(message.target))
        except FuchsiaforkError:
            return
        self._receive(
            LoadedVersion(
                message.target,
                str(state.get('version', '')),
                str(state.get('order_id', '')),
                bool(state.get('ready', False)),
            ),
        )

    def _url(self, target: str) -> str:
        """Return the URL of a target, empty if it is not configured."""
        section = self._document().targets.get(target)
        return section.url if section else ''
