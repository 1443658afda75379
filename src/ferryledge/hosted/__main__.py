"""Starts a daemon with as little work as possible."""

import gc
import os
import sys

#: Tells loguru not to make a handler of its own when it is imported: it would
#: be removed at once, and making it is work.
_OWN_HANDLER_VARIABLE = "LOGURU_AUTOINIT"


def main() -> None:
    """Import what a daemon needs and run it.

    Nothing that is imported becomes garbage, so collections would only make
    the start longer.
    """
    gc.disable()
    os.environ[_OWN_HANDLER_VARIABLE] = "False"
    from ferryledge.hosted import _listening

    listeners = _listening.listen(sys.argv[1:])
    from ferryledge.hosted import _commands

    _commands.main(obj=listeners)


if __name__ == "__main__":
    main()
