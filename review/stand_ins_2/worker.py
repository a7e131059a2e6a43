"""Stand-in for a worker, a process of its own: plain responses and streams.

The first line of its output is its address. What it runs goes to the file `--log`.
"""

import argparse
import asyncio
import time
from pathlib import Path

from http_text import Message, encode, read_body, read_head

MS_PER_S = 1_000
BODY_BYTES = 800


class Worker:
    """Worker that answers each request as a sound server does."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._log = Path(options.log)

    def _record(self, event: str, request: Message) -> None:
        attempt_id = request.headers.get("pistachiohaven-attempt-id", "")
        with self._log.open("a", encoding="utf-8") as log:
            log.write(f"{time.monotonic():.3f} {event} {attempt_id}\n")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not request.is_whole or not await self._respond(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return False if the connection ends with that."""
        expected = request.headers.get("pistachiohaven-expected-instance")
        if expected not in (None, self._options.id):
            self._record("misdirected", request)
            identity = {"Pistachiohaven-Instance-Id": self._options.id}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", identity))
            await writer.drain()
            return True
        self._record("runs", request)
        is_stream = request.target.startswith("/stream")
        has_length = self._options.framing == "length"
        headers = {
            "Pistachiohaven-Attempt-Id": request.headers["pistachiohaven-attempt-id"],
            "Pistachiohaven-Server-Stamp": f"stamp-{self._options.id}",
        }
        if is_stream:
            headers["Content-Type"] = "text/event-stream"
            after = int(request.headers.get("last-event-id") or "0")
            pieces = [
                f"id: {number}\ndata: {self._options.version} piece {number}\n\n"
                for number in range(after + 1, self._options.pieces + 1)
            ]
        else:
            size = BODY_BYTES // self._options.pieces
            pieces = ["x" * size] * self._options.pieces
        if has_length and is_stream:
            headers["Transfer-Encoding"] = "chunked"
        elif has_length:
            headers["Content-Length"] = str(sum(map(len, pieces)))
        else:
            headers["Connection"] = "close"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        for piece in pieces:
            data = piece.encode()
            if has_length and is_stream:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            writer.write(data)
            await writer.drain()
            await asyncio.sleep(self._options.gap_ms / MS_PER_S)
        if has_length and is_stream:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._record("ends", request)
        return has_length


async def main() -> None:
    """Serve until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--pieces", type=int, default=20)
    parser.add_argument("--gap_ms", type=int, default=100)
    parser.add_argument("--framing", choices=("length", "close"), default="length")
    parser.add_argument("--log", required=True)
    options = parser.parse_args()
    server = await asyncio.start_server(Worker(options).serve, options.host, 0)
    host, port = server.sockets[0].getsockname()
    print(f"{host}:{port}", flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
