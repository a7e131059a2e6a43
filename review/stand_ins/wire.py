"""Reading and writing of HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 65_536


@dataclass(kw_only=True)
class Message:
    """Head and body of one request or response; header names are lower case."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    message = Message(start=lines[0].split(" ", 2))
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            message.headers[name.strip().lower()] = value.strip()
    return message


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole request, None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                message.body += chunk
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


def encode_head(start: str, headers: dict[str, str]) -> bytes:
    """Return an encoded head."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    return encode_head(f"HTTP/1.1 {status} Status", fields) + body


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
