"""Connection of a stand-in that can send bytes that are no valid answer."""

from fuchsiafork.transport.caller import CallerConnection


class RawConnection(CallerConnection):
    """
    A connection that can send bytes that are no valid answer.

    :ivar late_copy: bytes to send when the next request arrives.
    :ivar used: whether a request has arrived.
    """

    late_copy = b''
    used = False

    def write_late_copy(self) -> None:
        """Send the copy of an earlier answer, if there is one."""
        copy, self.late_copy = self.late_copy, b''
        if copy:
            self.write_raw(copy)

    def write_raw(self, data: bytes) -> None:
        """Send bytes without HTTP framing."""
        if self._transport is not None:
            self._transport.write(data)


def encode_response(
    status: int, headers: list[tuple[str, str]], content: bytes
) -> bytes:
    """Return the bytes of a complete answer."""
    lines = [f'HTTP/1.1 {status} Copy', f'content-length: {len(content)}']
    lines += [f'{name}: {text}' for name, text in headers]
    return '\r\n'.join([*lines, '', '']).encode() + content
