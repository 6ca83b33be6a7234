"""Send and serve plain HTTP/1.1, as far as the stand-ins need it."""

import asyncio


class Message:
    """Hold the head and the body of a request or an answer; header names are in lower case."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_message(reader, *, is_answer_to=None):
    """Read one message with a length or in chunks; return None at the end of the stream."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("head cut off") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers, is_answer_to)
    except asyncio.IncompleteReadError:
        raise ConnectionError("body cut off") from None
    return Message(lines[0], headers, body)


async def _read_body(reader, headers, is_answer_to):
    if is_answer_to == "HEAD":
        return b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if is_answer_to else b""


def format_message(first, headers, body=b""):
    """Return the bytes of a message whose body has a length."""
    head = [first, *(f"{name}: {value}" for name, value in headers)]
    if body or not any(name.lower() == "content-length" for name, _ in headers):
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode("latin-1") + body


async def call(address, method, path, headers=(), body=b"", timeout=5.0, source=None):
    """Send one request on a new connection; return its answer, or None if none came whole."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            local = None if source is None else (source, 0)
            reader, writer = await asyncio.open_connection(host, int(port), local_addr=local)
            names = {name.lower() for name, _ in headers}
            all_headers = list(headers)
            if "host" not in names:
                all_headers.insert(0, ("Host", address))
            all_headers.append(("Connection", "close"))
            writer.write(format_message(f"{method} {path} HTTP/1.1", all_headers, body))
            return await read_message(reader, is_answer_to=method)
    except (OSError, TimeoutError, ValueError, asyncio.LimitOverrunError):
        return None
    finally:
        if writer is not None:
            writer.close()
