"""The programs as processes, ended by their ids alone."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

#: Seconds that a process gets after SIGTERM before SIGKILL.
GRACE_S = 6.0
_POLL_S = 0.05
_KEY = "soak-key"


class Program:
    """One program that is started again whenever it ends.

    :param name: its name in files
    :param role: ``entry`` or ``agent``
    :param settings: the text of its settings file
    :param folder: where its settings and logs go
    """

    def __init__(
        self, name: str, role: str, settings: str, folder: pathlib.Path
    ) -> None:
        self.name = name
        self._role = role
        self._path = folder / f"{name}.toml"
        self._path.write_text(settings)
        self._log_path = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self._wanted = False
        self.lives = 0

    def start(self) -> None:
        """Start the program."""
        self._wanted = True
        self.lives += 1
        environment = {
            **os.environ,
            "FERRYLEDGE_CONFIG": str(self._path),
            "FERRYLEDGE_PEER_KEYS": _KEY,
        }
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "ferryledge.hosted", self._role],
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def keep(self) -> None:
        """Start the program again each time it has ended."""
        while True:
            await asyncio.sleep(_POLL_S)
            process = self._process
            if self._wanted and process and process.poll() is not None:
                self.start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it lives."""
        process = self._process
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def restart(self, down_s: float) -> None:
        """Kill the process and start it again.

        :param down_s: seconds from its end to its next start
        """
        process = self._process
        if process is None or not self._wanted:
            return
        self._wanted = False
        self.signal(signal.SIGKILL)
        process.wait()
        await asyncio.sleep(down_s)
        self.start()

    async def pause(self, for_s: float) -> None:
        """Stop the process for a while."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGCONT)

    async def stop(self) -> None:
        """Stop the process as planned; it is started again."""
        process = self._process
        self.signal(signal.SIGTERM)
        for _ in range(int(GRACE_S / _POLL_S)):
            if process is None or process.poll() is not None:
                return
            await asyncio.sleep(_POLL_S)
        if process is self._process:
            self.signal(signal.SIGKILL)

    def end(self) -> None:
        """End the process for good."""
        self._wanted = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
