"""`python -m sailrun`: see sailrun/cli.py."""

from sailrun.cli import command

if __name__ == "__main__":
    command()
