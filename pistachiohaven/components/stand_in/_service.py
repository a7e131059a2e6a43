"""Stand-in for a plain service whose calls must not be repeated."""

import msgspec
import trio

from pistachiohaven.components.web import (
    HttpRequest,
    Receive,
    Send,
    listen,
    send_json,
    serve,
)
from pistachiohaven.components.web.const import OK
from pistachiohaven.const import MS_PER_S

from ._settings import ServiceSettings
from ._target import TargetStandIn


class ServiceCall(msgspec.Struct, frozen=True):
    """Call of the service; its runs are counted under `job`."""

    job: str = ""


class ServiceStandIn(TargetStandIn):
    """Plain service that takes `call_ms` for each call and counts the calls."""

    def __init__(self, *, settings: ServiceSettings) -> None:
        super().__init__()
        self._settings = settings
        self._call_limiter = trio.CapacityLimiter(settings.max_calls)

    async def run_call(
        self, request: HttpRequest, body: bytes, receive: Receive, send: Send
    ) -> None:
        """Run one call."""
        job = msgspec.json.decode(body, type=ServiceCall).job
        self.runs.begin(job)
        async with self._call_limiter:
            await trio.sleep(self.fault.slow * self._settings.call_ms / MS_PER_S)
        self.runs.end(job)
        content = {"job": job, "run": self.runs.begun[job]}
        await send_json(send, status=OK, content=content)


async def run_service(settings: ServiceSettings) -> None:
    """Run the stand-in for a plain service until the process is killed."""
    stand_in = ServiceStandIn(settings=settings)
    await serve(stand_in, listen(settings.listen), trio.Event())
