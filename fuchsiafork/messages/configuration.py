"""Messages that distribute the configuration."""

import dataclasses

from fuchsiafork.messages.registry import message


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationOffer:
    """
    Announces the configuration revision that the sender has in force.

    :ivar digest: digest of that revision's document.
    """

    revision: int
    digest: str


@message
@dataclasses.dataclass(frozen=True, slots=True)
class FetchConfiguration:
    """
    Requests the document if it is newer than the requester's revision.

    :ivar revision: revision that the requester has.
    :ivar by_parts: the requester has the parts of its revision and needs
        only the new ones.
    """

    revision: int
    by_parts: bool = False


@message
@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """
    One revision of the document, as a whole text or as its new parts.

    :ivar text: the INI document, empty if sent as parts.
    :ivar parts: digests of all parts in order, empty if sent as a whole.
    :ivar texts: texts of new parts, as many as fit in one message.
    """

    revision: int
    digest: str
    text: str
    parts: tuple[str, ...] = ()
    texts: tuple[str, ...] = ()
