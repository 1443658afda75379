"""A TCP relay whose connections can be cut."""

import contextlib
import socket
import threading


class Relay:
    """Passes connections on to a port until they are cut."""

    def __init__(self, target):
        self.target = target
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.open = []
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Break all connections; new ones are passed on again."""
        broken, self.open = self.open, []
        for one in broken:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)

    def close(self):
        self.listener.close()
        self.cut()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.target))
            except OSError:
                return
            self.open += [near, far]
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass_on, args=pair, daemon=True
                ).start()

    def _pass_on(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass
        for one in (source, target):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
