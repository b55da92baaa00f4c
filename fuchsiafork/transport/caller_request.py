"""Requests of callers, and the limits on them."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and the idle time of connections."""

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """
    A complete request.

    :ivar target: request target: path and query as they were sent.
    :ivar headers: pairs of name, in lower case, and value.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str) -> str:
        """Return the value of a header, empty if there is none."""
        return next((value for key, value in self.headers if key == name), '')


__all__ = ('CallerLimits', 'CallerRequest')
