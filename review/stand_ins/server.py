"""Stand-in for a server of a service (a worker)."""

import asyncio
import contextlib
import time
from collections.abc import Callable

from .wire import Message, encode_chunk, encode_head, encode_response, read_request

MISDIRECTED, FULL, OK = 421, 503, 200


class Server:
    """Server that runs plain requests and streams, and says what it ran.

    A plain request takes `work_s`. A stream has `events` events, one each `gap_s`;
    each names its number and the software version that made it. `record` is called
    with the name of what happened and its details.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: tuple[str, int],
        record: Callable[..., None],
        version: str = "v1",
        work_s: float = 0.02,
        events: int = 20,
        gap_s: float = 0.15,
        slots: int = 12,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.version = version
        self.work_s = work_s
        self.events = events
        self.gap_s = gap_s
        self.slots = slots
        self.born_ms = int(time.time() * 1000)
        self.running = 0
        self.run_at_s: list[float] = []
        self._record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def key(self) -> str:
        """Return the key of the entry in the store."""
        return f"servers/{self.name}"

    def entry(self, state: str = "ready") -> dict[str, object]:
        """Return the entry with which the server registers."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born_ms,
        }

    async def start(self) -> None:
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, *self.address)

    def end(self) -> None:
        """End the process: nothing listens, and connections are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def restart(self, version: str) -> None:
        """Start again under the same id and address, with other software."""
        self.version = version
        self.born_ms = int(time.time() * 1000)
        await self.start()

    def reject(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        """Send the answer to a request for which there is no slot."""
        writer.write(response)

    async def before_answer(self, writer: asyncio.StreamWriter) -> None:
        """Do what precedes the answer to each request on a connection."""

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers.add(writer)
        self._tasks.add(task)
        try:
            while (request := await read_request(reader)) is not None:
                await self.before_answer(writer)
                await self._answer(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        attempt = request.headers.get("pistachiohaven-attempt-id", "")
        signed = {
            "Pistachiohaven-Attempt-Id": attempt,
            "Pistachiohaven-Server-Stamp": f"{self.name}.{attempt}",
        }
        expected = request.headers.get("pistachiohaven-expected-instance")
        if expected not in (None, self.name):
            self._record("rejected", attempt=attempt, server=self.name, status=421)
            headers = {**signed, "Pistachiohaven-Instance-Id": self.name}
            writer.write(encode_response(MISDIRECTED, headers))
            return
        if self.running >= self.slots:
            self._record("rejected", attempt=attempt, server=self.name, status=503)
            headers = {**signed, "Pistachiohaven-Not-Executed": "1"}
            self.reject(encode_response(FULL, headers), writer)
            return
        self.running += 1
        self.run_at_s.append(time.monotonic())
        self._record(
            "run",
            attempt=attempt,
            server=self.name,
            version=self.version,
            path=request.start[1],
            after=request.headers.get("last-event-id"),
        )
        try:
            if request.start[1].startswith("/stream"):
                await self._stream(request, signed, writer)
            else:
                await asyncio.sleep(self.work_s)
                body = f"{self.name} {attempt}".encode()
                writer.write(encode_response(OK, signed, body))
                await writer.drain()
            self._record("ran", attempt=attempt, server=self.name)
        except (ConnectionError, asyncio.CancelledError):
            self._record("stopped", attempt=attempt, server=self.name)
            raise
        finally:
            self.running -= 1

    async def _stream(
        self, request: Message, signed: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        headers = {
            **signed,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        after = int(request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            data = f"{self.service}/{self.version} piece {number}"
            event = f"id: {number}\ndata: {data}\n\n"
            writer.write(encode_chunk(event.encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await writer.drain()
