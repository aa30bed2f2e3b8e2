"""Runs the command line with `python -m persimmonspan`."""

import sys

from persimmonspan.process import cli

if __name__ == "__main__":
    sys.exit(cli.main())
