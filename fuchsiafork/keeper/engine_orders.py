"""Gives orders to engines and reads back what they have loaded."""

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

THREADS = 4


class OrderDesk:
    """Carries out the messages for ``@engines`` in threads."""

    def __init__(
        self,
        engines: EngineClient,
        document: Callable[[], Document],
        receive: Callable[[Any], None],
    ) -> None:
        """Answer by ``receive``, which may be called from any thread."""
        self._engines = engines
        self._document = document
        self._receive = receive
        self._threads = concurrent.futures.ThreadPoolExecutor(
            THREADS,
            thread_name_prefix='orders',
        )

    def take(self, message: Any) -> None:
        """Carry out a message for the engines in the background."""
        self._threads.submit(self._carry_out, message)

    def close(self) -> None:
        """Release the threads."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    @functools.singledispatchmethod
    def _carry_out(self, message: Any) -> None:
        """Ignore what is for no engine."""

    @_carry_out.register
    def _(self, message: LoadOrder) -> None:
        url = self._url(message.target)
        order = {
            'order_id': message.order,
            'fence': message.fence,
            'version': message.version,
            'artifact': message.artifact,
        }
        try:
            accepted = self._engines.order(url, order)
        except FuchsiaforkError:
            # The read-back tells whether the order arrived.
            return
        if not accepted:
            self._receive(
                OrderRefused(message.target, message.order, message.fence),
            )

    @_carry_out.register
    def _(self, message: AskLoaded) -> None:
        try:
            state = self._engines.order_state(self._url(message.target))
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
        """Return a target's address, empty for an unknown one."""
        section = self._document().targets.get(target)
        return section.url if section else ''
