"""Stand between two processes as a network that can be cut."""

import select
import socket
import threading

HOST = "127.0.0.1"


class Relay:
    """Stand between an entry and a sidecar as a network that can be cut."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.open = True
        self._links: list[socket.socket] = []
        self._server = socket.create_server((HOST, 0))
        self.own_port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _address = self._server.accept()
            except OSError:
                return
            if not self.open:
                near.close()
                continue
            try:
                far = socket.create_connection((HOST, self.port))
            except OSError:
                near.close()
                continue
            self._links += [near, far]
            threading.Thread(target=self._pump, args=(near, far), daemon=True).start()

    @staticmethod
    def _pump(near: socket.socket, far: socket.socket) -> None:
        other = {near: far, far: near}
        try:
            while True:
                for ready in select.select([near, far], [], [])[0]:
                    data = ready.recv(65536)
                    if not data:
                        return
                    other[ready].sendall(data)
        except (OSError, ValueError):
            return
        finally:
            near.close()
            far.close()

    def cut(self) -> None:
        """Break every connection; new ones go through unless `open` is False."""
        links, self._links = self._links, []
        for link in links:
            try:
                link.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def close(self) -> None:
        """Stop for good."""
        self._server.close()
        self.cut()
