"""Keep the answers of live requests, and of ended ones while there is room."""

from collections import OrderedDict

from ._answer import Answer
from .const import ANSWERS_KEPT_BYTES, MAX_ANSWERS_KEPT


class AnswerStore:
    """Map request ids to answers; ended ones are dropped oldest first."""

    def __init__(self) -> None:
        self._live: dict[str, Answer] = {}
        self._ended: OrderedDict[str, Answer] = OrderedDict()
        self._ended_bytes = 0

    def open(self, request_id: str) -> Answer:
        """Return a new answer for a request that was just admitted."""
        answer = Answer()
        self._live[request_id] = answer
        return answer

    def get(self, request_id: str) -> Answer | None:
        """Return the answer of `request_id`, or None if it is not kept."""
        return self._live.get(request_id) or self._ended.get(request_id)

    def close(self, request_id: str) -> None:
        """Keep an ended answer only while there is room."""
        answer = self._live.pop(request_id, None)
        if answer is None:
            return
        self._ended[request_id] = answer
        self._ended_bytes += answer.size_bytes
        while self._ended and self._over():
            _request_id, dropped = self._ended.popitem(last=False)
            self._ended_bytes -= dropped.size_bytes

    def _over(self) -> bool:
        too_many = len(self._ended) > MAX_ANSWERS_KEPT
        return too_many or self._ended_bytes > ANSWERS_KEPT_BYTES
