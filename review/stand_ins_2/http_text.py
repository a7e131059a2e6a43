"""HTTP/1.1 messages for the stand-ins, read and written over asyncio streams."""

import asyncio
from dataclasses import dataclass, field

CHUNK_BASE = 16


@dataclass(kw_only=True)
class Message:
    """Request or response; header names are in lower case.

    `is_whole` is False if the connection ended before the end of the body.
    """

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True
    parts: list[bytes] = field(default_factory=list)

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the request target."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return Message(start=lines[0], headers=headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of `message`; one without a length ends with the connection."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), CHUNK_BASE):
                part = (await reader.readexactly(size + 2))[:-2]
                message.parts.append(part)
            await reader.readuntil(b"\r\n")
        elif "content-length" in message.headers:
            length = int(message.headers["content-length"])
            message.parts.append(await reader.readexactly(length))
        elif message.start.startswith("HTTP/"):
            while part := await reader.read(65_536):
                message.parts.append(part)
    except asyncio.IncompleteReadError as error:
        message.parts.append(error.partial)
        message.is_whole = False
    except (ConnectionError, ValueError):
        message.is_whole = False
    message.body = b"".join(message.parts)


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a content length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
