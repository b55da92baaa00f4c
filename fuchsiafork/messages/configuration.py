"""Messages that spread the configuration."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """The sender has this revision in force."""

    revision: int
    digest: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """Asks for the document if it is newer than the asker's revision."""

    revision: int


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """
    One whole revision of the document.

    :ivar text: the INI document.
    """

    revision: int
    digest: str
    text: str
