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
    """
    Asks for the document if it is newer than the asker's revision.

    :ivar by_parts: the asker has the parts of its revision and wants only
        those that are new.
    """

    revision: int
    by_parts: bool = False


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """
    One revision of the document, whole or by its new parts.

    :ivar text: the INI document, empty when it is sent by parts.
    :ivar parts: digests of all parts in order, empty for a whole text.
    :ivar texts: new parts, as many as fit one message.
    """

    revision: int
    digest: str
    text: str
    parts: tuple[str, ...] = ()
    texts: tuple[str, ...] = ()
