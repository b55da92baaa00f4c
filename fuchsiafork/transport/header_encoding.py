"""Encodes header pairs for HTTP messages."""

from collections.abc import Iterable


def encode_headers(
    pairs: Iterable[tuple[str, str]],
) -> list[tuple[bytes, bytes]]:
    """
    Encode header names and values as they were decoded: as latin-1.

    h11 encodes text as ASCII and refuses the other bytes that a header value
    may have (RFC 9110, section 5.5).

    :raises UnicodeEncodeError: if a character isn't in latin-1.
    """
    return [
        (name.encode('latin-1'), text.encode('latin-1')) for name, text in pairs
    ]


__all__ = ('encode_headers',)
