"""Store of the responses of active requests and of recently ended ones."""

from collections import OrderedDict

from ._response import BufferedResponse
from .const import MAX_KEPT_RESPONSE_BYTES, MAX_KEPT_RESPONSES


class ResponseStore:
    """Map of request ids to responses.

    Ended responses are kept for readers that resume, and dropped oldest first beyond
    `MAX_KEPT_RESPONSES` responses or `MAX_KEPT_RESPONSE_BYTES` bytes.
    """

    def __init__(self) -> None:
        self._active: dict[str, BufferedResponse] = {}
        self._ended: OrderedDict[str, BufferedResponse] = OrderedDict()
        self._ended_bytes = 0

    def create(self, request_id: str) -> BufferedResponse:
        """Return a new response for a request that was admitted."""
        response = BufferedResponse()
        self._active[request_id] = response
        return response

    def get(self, request_id: str) -> BufferedResponse | None:
        """Return the response of `request_id`, or None if it is not kept."""
        return self._active.get(request_id) or self._ended.get(request_id)

    def close(self, request_id: str) -> None:
        """Move a response to the ended ones and drop the oldest beyond the limits."""
        response = self._active.pop(request_id, None)
        if response is None:
            return
        self._ended[request_id] = response
        self._ended_bytes += response.size_bytes
        while self._ended and self._exceeds_limits():
            _request_id, oldest = self._ended.popitem(last=False)
            self._ended_bytes -= oldest.size_bytes

    def _exceeds_limits(self) -> bool:
        has_too_many = len(self._ended) > MAX_KEPT_RESPONSES
        return has_too_many or self._ended_bytes > MAX_KEPT_RESPONSE_BYTES
