"""Runs a node as the platform starts it if there are no arguments, else the command line (cli.py)."""

import sys

if __name__ == "__main__":
    if len(sys.argv) == 1:
        # Importing the argument parser takes a good part of the start-up time and is not needed here.
        from sailrun.start import paths_from_environment, start

        start(*paths_from_environment())
    else:
        from sailrun.cli import command

        command()
