"""Test of the look at a connection for its end."""

import socket
import struct

from pistachiohaven.components.web._connection import has_ended


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Return the server's and the caller's end of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
    server.setblocking(False)
    return server, caller


def test_end_is_seen_only_after_the_data_before_it() -> None:
    server, caller = connected_sockets()
    with server, caller:
        assert not has_ended(server.fileno())
        caller.sendall(b"ab")
        caller.close()
        assert not has_ended(server.fileno())
        assert server.recv(10) == b"ab"
        assert has_ended(server.fileno())


def test_reset_and_closed_connections_have_ended() -> None:
    server, caller = connected_sockets()
    with server:
        linger = struct.pack("ii", 1, 0)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        caller.close()
        assert has_ended(server.fileno())
    assert has_ended(server.fileno())
