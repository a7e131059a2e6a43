"""Paths, headers and status codes of messages between the system's processes."""

from typing import Final

OFFER_PATH: Final = "/control/offer"
WITHDRAW_PATH: Final = "/control/withdraw"
STAGE_PATH: Final = "/control/stage"
RESUME_PATH: Final = "/control/resume"
ABANDON_PATH: Final = "/control/abandon"
CLAIM_PATH: Final = "/control/claim"
THRESHOLD_PATH: Final = "/control/threshold"
REPORT_PATH: Final = "/control/report"
SYNC_PATH: Final = "/control/sync"

REPORT_HEADER: Final = "x-report"
"""Header with the encoded `Report` of a sidecar."""

TARGET_STATUS_HEADER: Final = "x-target-status"
"""Header with the status code of the target's response."""

REQUEST_ID_HEADER: Final = "x-request-id"

CONTENT_TYPE: Final = "application/msgpack"

STATUS_DISPATCHED: Final = 200
"""The request was dispatched; the body is the target's response."""

STATUS_REFUSED: Final = 409
"""The request was refused; the body is a `RefusalMessage`."""

STATUS_DUPLICATE: Final = 208
"""The offer is a duplicate; the body is a `DuplicateMessage`."""

STATUS_GONE: Final = 410
"""The response of a dispatched request was cut or is no longer kept."""
