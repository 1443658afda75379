"""Starts a daemon with as little work as possible."""

import gc


def main() -> None:
    """Import what a daemon needs and run it.

    Nothing that is imported becomes garbage, so collections would only make
    the start longer.
    """
    gc.disable()
    from ferryledge.hosted import _commands

    _commands.main()


if __name__ == "__main__":
    main()
