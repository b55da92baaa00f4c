"""Log configuration: one line of key=value pairs for each event."""

import logging
from collections.abc import Callable, MutableMapping
from typing import Any

import structlog

_KEY_ORDER = ('timestamp', 'level', 'logger', 'event')


def configure_logs(level: str = 'info', output: Any = None) -> None:
    """
    Log events of a level and above.

    :param output: file-like object, standard output if None.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            _name_logger,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=_KEY_ORDER,
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()],
        ),
        logger_factory=structlog.WriteLoggerFactory(output),
        cache_logger_on_first_use=False,
    )


def get_logger(name: str) -> Any:
    """Return the logger with a dotted name."""
    return structlog.get_logger(logger_name=name)


def _name_logger(
    logger: Any,
    method: str,
    event: MutableMapping[str, Any],
) -> MutableMapping[str, Any]:
    """Move the logger's name to the key ``logger`` (structlog processor)."""
    # structlog accepts no initial value under the key ``logger``.
    if 'logger_name' in event:
        event['logger'] = event.pop('logger_name')
    return event


def event_logger(node: str, domain: str) -> Callable[..., Any]:
    """Return a function that logs an event of a process at info level."""
    return get_logger(node.replace('/', '.')).bind(domain=domain).info
