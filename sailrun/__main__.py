"""`python -m sailrun`: see sailrun/cli.py."""

from sailrun.cli import app

if __name__ == "__main__":
    app(prog_name="sailrun")
