"""Starts a daemon; kept small so that it listens early."""

import gc
import os
import sys

#: Variable that keeps loguru from adding a default handler when it is
#: imported; the daemon configures its own.
_AUTOINIT_VARIABLE = "LOGURU_AUTOINIT"


def main() -> None:
    """Open the listening sockets, then import and run the daemon.

    Garbage collection is disabled during the imports: they create few
    unreachable objects, and collections would only lengthen the start.
    """
    gc.disable()
    os.environ[_AUTOINIT_VARIABLE] = "False"
    from ferryledge.hosted import _listening

    listeners = _listening.listen(sys.argv[1:])
    from ferryledge.hosted import _commands

    _commands.main(obj=listeners)


if __name__ == "__main__":
    main()
