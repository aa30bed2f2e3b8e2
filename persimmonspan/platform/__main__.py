"""Command line entry point of an edge daemon on the users' platform."""

import sys

from persimmonspan.platform import program

if __name__ == "__main__":
    sys.exit(program.main())
