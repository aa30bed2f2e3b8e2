"""Command line of persimmonspan.

Exit codes: 0 success, 1 a document or setting is not valid, 2 wrong usage, 3 a
stop that cut requests.
"""

import argparse
import collections.abc
import sys

from persimmonspan import errors
from persimmonspan.process import daemon
from persimmonspan.process import logs
from persimmonspan.process import settings

EXIT_INVALID = 1


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Runs one subcommand and returns its exit code."""
    parsed = _parser().parse_args(arguments)
    try:
        return parsed.run(parsed)
    except errors.PersimmonspanError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="persimmonspan",
        description="Serves generations of unknown length on crowded engines.",
        epilog="Exit codes: 0 success, 1 a document or setting is not valid, "
        "2 wrong usage, 3 a stop that cut requests.")
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = commands.add_parser("serve", help="run the daemon")
    settings.add_arguments(serve)
    serve.set_defaults(run=_serve)
    check = commands.add_parser("check",
                                help="validate an inventory and rules offline")
    check.add_argument("inventory", help="inventory file")
    check.add_argument("rules", nargs="?", help="rules file")
    check.set_defaults(run=_check)
    return parser


def _serve(parsed: argparse.Namespace) -> int:
    options = settings.from_arguments(parsed)
    logs.configure(options.log_level, options.name)
    return daemon.run(options)


def _check(parsed: argparse.Namespace) -> int:
    configuration = daemon.load_configuration(parsed.inventory, parsed.rules)
    targets = sum(len(service.targets) for service in configuration.services)
    print(f"valid: {len(configuration.services)} services, {targets} targets, "
          f"{len(configuration.workspaces)} workspaces, "
          f"{len(configuration.kinds)} request kinds")
    return 0
