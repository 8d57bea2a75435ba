"""`python -m sailrun`: the platform's node without arguments, else the command line, see sailrun/cli.py."""

import sys

if __name__ == "__main__":
    if len(sys.argv) == 1:
        # What reads arguments is a good part of what a start costs, and here there are none.
        from sailrun.start import by_environment, start

        start(*by_environment())
    else:
        from sailrun.cli import command

        command()
