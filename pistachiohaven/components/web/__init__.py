"""HTTP server (hypercorn) and client (httpcore)."""

from ._asgi import (
    App,
    BodyError,
    HttpRequest,
    Message,
    Receive,
    Scope,
    Send,
    has_caller_left,
    read_body,
    send_json,
    send_response,
    start_response,
)
from ._client import CallError, call, make_connection_pool
from ._integrity import find_fault
from ._metered import (
    EndlessResponseError,
    MeteredBackend,
    Pacer,
    has_known_end,
    is_request_cut,
    iter_body,
    iter_content,
    read_content,
)
from ._serve import Listener, Server, ServerOptions, listen, serve
from .const import MAX_CONTENT_BYTES

__all__ = [
    "MAX_CONTENT_BYTES",
    "App",
    "BodyError",
    "CallError",
    "EndlessResponseError",
    "HttpRequest",
    "Listener",
    "Message",
    "MeteredBackend",
    "Pacer",
    "Receive",
    "Scope",
    "Send",
    "Server",
    "ServerOptions",
    "call",
    "find_fault",
    "has_caller_left",
    "has_known_end",
    "is_request_cut",
    "iter_body",
    "iter_content",
    "listen",
    "make_connection_pool",
    "read_body",
    "read_content",
    "send_json",
    "send_response",
    "serve",
    "start_response",
]
