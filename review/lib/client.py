"""A client on plain sockets."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Answer:
    """What a client got: 0 as the status if nothing came."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b''
    complete: bool = False


def request_bytes(path, request_id, method='POST', body=b'{}',
                  deadline_ms=12000, headers=()):
    """Return the bytes of a request."""
    lines = [
        f'{method} {path} HTTP/1.1', 'Host: shop.example',
        f'X-Attempt-Id: {request_id}', f'X-Deadline-Ms: {deadline_ms}',
        *(f'{name}: {value}' for name, value in headers),
    ]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def read_answer(reader):
    """Return an answer, also an incomplete one."""
    answer = Answer()
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *rest = head.decode('latin-1').split('\r\n')
        answer.status = int(first.split()[1])
        for line in rest:
            name, separator, value = line.partition(':')
            if separator:
                answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int(await reader.readuntil(b'\r\n'), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += chunk[:-2]
        else:
            length = int(answer.headers.get('content-length', '0'))
            while len(answer.body) < length:
                part = await reader.read(length - len(answer.body))
                if not part:
                    return answer
                answer.body += part
        answer.complete = True
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        pass
    return answer


async def call(gateway, data, timeout_s=13.0):
    """Send a request on a new channel and return the answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.front
            )
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer()
