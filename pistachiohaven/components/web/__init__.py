"""HTTP server (hypercorn) and client (httpcore)."""

from ._asgi import (
    App,
    BodyError,
    HttpRequest,
    Message,
    Receive,
    Scope,
    Send,
    read_body,
    send_json,
    send_reply,
    start_stream,
)
from ._client import CallError, call, make_pool
from ._serve import Listener, Server, ServerOptions, listen, serve

__all__ = [
    "App",
    "BodyError",
    "CallError",
    "HttpRequest",
    "Listener",
    "Message",
    "Receive",
    "Scope",
    "Send",
    "Server",
    "ServerOptions",
    "call",
    "listen",
    "make_pool",
    "read_body",
    "send_json",
    "send_reply",
    "serve",
    "start_stream",
]
