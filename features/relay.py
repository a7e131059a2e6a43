"""TCP relay that simulates a network whose connections can be cut."""

import select
import socket
import threading

HOST = "127.0.0.1"


class Relay:
    """TCP relay from an entry to a sidecar.

    While `is_open` is False, new connections are closed at once.
    """

    def __init__(self, sidecar_port: int) -> None:
        self.sidecar_port = sidecar_port
        self.is_open = True
        self._connections: list[socket.socket] = []
        self._server = socket.create_server((HOST, 0))
        self.listen_port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client_socket, _address = self._server.accept()
            except OSError:
                return
            if not self.is_open:
                client_socket.close()
                continue
            try:
                server_socket = socket.create_connection((HOST, self.sidecar_port))
            except OSError:
                client_socket.close()
                continue
            self._connections += [client_socket, server_socket]
            threading.Thread(
                target=self._forward, args=(client_socket, server_socket), daemon=True
            ).start()

    @staticmethod
    def _forward(client_socket: socket.socket, server_socket: socket.socket) -> None:
        peer_of = {client_socket: server_socket, server_socket: client_socket}
        try:
            while True:
                for ready in select.select([client_socket, server_socket], [], [])[0]:
                    data = ready.recv(65536)
                    if not data:
                        return
                    peer_of[ready].sendall(data)
        except (OSError, ValueError):
            return
        finally:
            client_socket.close()
            server_socket.close()

    def cut(self) -> None:
        """Shut down every open connection."""
        connections, self._connections = self._connections, []
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def close(self) -> None:
        """Stop listening and shut down every open connection."""
        self._server.close()
        self.cut()
