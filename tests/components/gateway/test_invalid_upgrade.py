"""A malformed request ended the process, and with it all other requests."""

import trio

from .stand_ins import ReceivedRequest, Response, run_harness
from .test_gateway import script_first_requests

UPGRADE = (
    b"GET /again/x HTTP/1.1\r\nHost: a.example\r\n"
    b"Connection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAA\r\n\r\n"
)


def test_invalid_upgrade_does_not_end_other_requests() -> None:
    async def act() -> None:
        with trio.fail_after(40):
            async with run_harness(targets=2) as harness:
                responses: list[Response] = []

                async def respond(
                    request: ReceivedRequest, stream: trio.SocketStream
                ) -> bool:
                    await trio.sleep(1.0)
                    return await harness.targets[0].respond_normally(request, stream)

                script_first_requests(harness, respond)

                async def call() -> None:
                    responses.append(await harness.call("/once/x"))

                async with trio.open_nursery() as callers:
                    callers.start_soon(call)
                    await trio.sleep(0.2)
                    async with await harness.connect() as stream:
                        await stream.send_all(UPGRADE)
                        await trio.sleep(0.2)
                assert [response.status for response in responses] == [200]

    trio.run(act)
