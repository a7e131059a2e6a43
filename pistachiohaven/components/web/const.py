"""Constants of HTTP."""

from typing import Final

OK: Final = 200
BAD_REQUEST: Final = 400
NOT_FOUND: Final = 404
TOO_LARGE: Final = 413

SHUTDOWN_GRACE_S: Final = 2.0
"""Time in seconds that connections without a request get to close."""

BACKLOG: Final = 512
"""Largest number of connections of a listener that wait to be accepted."""

KEEP_ALIVE_S: Final = 60.0
"""Time for which a server keeps an idle connection; clients use half of it."""

MAX_CONNECTIONS: Final = 4_096
"""Largest number of connections, in use and idle, of one client pool."""

MAX_HEADER_BYTES: Final = 16_384
"""Largest total size of the request line and the headers."""

MAX_QUEUED_PARTS: Final = 2
"""Parts of a request's body that the server reads ahead; each has up to 64 KiB."""

MAX_KEEP_ALIVE_REQUESTS: Final = 1_000_000
"""Requests after which a connection is closed."""

MAX_HEAD_BYTES: Final = 32_768
"""Largest head of a response, with the interim responses before it.

Twice the largest head that is accepted of a request.
"""

READ_COST_BYTES: Final = 64
"""Bytes that each read counts in addition, which limits the reads of a head."""

MAX_CONTENT_BYTES: Final = 16_777_216
"""Largest content of a response that is read whole.

Several times a full list of records at 6,000 targets.
"""

MAX_FRAMING_BYTES: Final = 131_072
"""Bytes read of a body beyond twice its size.

They include what was read ahead, up to 65,536 bytes.
"""

MAX_TINY_CHUNKS: Final = 2_048
"""Chunks of a body beyond one for each `MIN_CHUNK_BYTES`."""

MIN_CHUNK_BYTES: Final = 4
"""Smallest mean size of the chunks of a long body; the framing of a chunk is longer."""

PACE_BURST_PIECES: Final = 4_096
"""Chunks and events of one response that are processed without a pause."""

PACE_PIECES_PER_S: Final = 500
"""Chunks and events of one response processed per second after the burst.

An engine sends tens of events a second.
"""

PIECE_BYTES: Final = 16_384
"""Bytes of a chunk that count as one more piece."""

PIECES_PER_TURN: Final = 64
"""Chunks and events of one response processed before other requests continue."""

HEAD_READ_BYTES: Final = 4_096
"""Bytes of a head read at once.

All interim responses among them are parsed before other requests continue.
"""

HAS_CALLER_LEFT: Final = "has_caller_left"
"""Key of the connection's state in an ASGI scope; see `has_caller_left`."""

BODILESS_STATUSES: Final = frozenset({204, 205, 304})
"""Statuses of responses without a body."""
