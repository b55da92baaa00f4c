"""What makes two requests the same one."""

import hashlib

# Marks parts that stand for a whole request; no id of a prompt part has it.
REQUEST_MARK = 'request:'
DIGEST_BYTES = 16


def request_part(
    method: str, host: str, target: str, account: str, body: bytes
) -> str:
    """
    Return the part that stands for a whole request.

    Requests that a caller repeats have the same one, whatever their ids and
    the headers that change from try to try.

    :param target: path and query as they were sent.
    :param account: name of the client account, empty if there is none.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (method, host.lower(), target, account):
        # Lengths keep two fields from being taken for one.
        encoded = field.encode('utf-8', 'surrogateescape')
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(body)
    return f'{REQUEST_MARK}{digest.hexdigest()}'


__all__ = ('REQUEST_MARK', 'request_part')
