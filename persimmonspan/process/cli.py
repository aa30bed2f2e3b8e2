"""Command line of persimmonspan.

The exit codes are part of the public interface and are listed in the help text.
"""

import argparse
import collections.abc
import json
import sys
import typing

from persimmonspan import errors
from persimmonspan.process import commands
from persimmonspan.process import daemon
from persimmonspan.process import load
from persimmonspan.process import logs
from persimmonspan.process import settings
from persimmonspan.version import check
from persimmonspan.version import model

EXIT_INVALID = 1
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5

_EXIT_CODES = """exit codes:
  0  success
  1  a document, setting or request is not valid, or not allowed
  2  wrong usage of the command line
  3  a second signal interrupted requests in flight
  4  another change was committed first; read the configuration and try again
  5  the daemon or the store is not reachable, or the outcome is unknown
  6  the target still has requests outstanding (drain --wait)
"""

_EXIT_BY_CODE = {
    errors.Code.CONFLICT: EXIT_CONFLICT,
    errors.Code.NO_TARGET: EXIT_UNAVAILABLE,
    errors.Code.OUTCOME_UNKNOWN: EXIT_UNAVAILABLE,
    errors.Code.STORE_UNAVAILABLE: EXIT_UNAVAILABLE,
    errors.Code.CONFIG_UNVERIFIED: EXIT_UNAVAILABLE,
}


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Runs one subcommand and returns its exit code."""
    parsed = _make_parser().parse_args(arguments)
    try:
        return parsed.run(parsed)
    except errors.PersimmonspanError as error:
        print(error, file=sys.stderr)
        return _EXIT_BY_CODE.get(error.code, EXIT_INVALID)
    except KeyboardInterrupt:
        return 0


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="persimmonspan",
        description="Serves generations of unknown length on highly loaded "
        "engines.",
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    subcommands = parser.add_subparsers(required=True, metavar="COMMAND")
    serve = subcommands.add_parser("serve", help="run the daemon")
    settings.add_arguments(serve)
    serve.set_defaults(run=_run_serve)
    validate = subcommands.add_parser(
        "check", help="validate an inventory and rules offline")
    validate.add_argument("inventory", help="inventory file")
    validate.add_argument("rules", nargs="?", help="rules file")
    validate.set_defaults(run=_run_check)
    commands.add_parsers(subcommands)
    send = subcommands.add_parser(
        "load",
        help="send a bounded mixed load to daemons and report what callers see")
    send.add_argument("inventory",
                      help="inventory file with request kinds and workspaces")
    send.add_argument("keys",
                      help="JSON file that maps workspace names to keys")
    send.add_argument("--daemon",
                      action="append",
                      help="address and port of a daemon; may be repeated "
                      "(default 127.0.0.1:8080)")
    send.add_argument("--rate", type=float, default=10.0, help="requests/s")
    send.add_argument("--duration", type=float, default=10.0, help="seconds")
    send.add_argument(
        "--tries",
        type=int,
        default=1,
        help="how many times to send a request that gets no response")
    send.add_argument("--seed", type=int, default=0)
    send.set_defaults(run=_run_load)
    return parser


def _run_serve(parsed: argparse.Namespace) -> int:
    options = settings.from_arguments(parsed)
    logs.configure(options.log_level, options.name)
    return daemon.run(options)


def _run_check(parsed: argparse.Namespace) -> int:
    configuration = check.build_configuration(
        *daemon.load_documents(parsed.inventory, parsed.rules))
    targets = sum(len(service.targets) for service in configuration.services)
    print(f"valid: {len(configuration.services)} services, {targets} targets, "
          f"{len(configuration.workspaces)} workspaces, "
          f"{len(configuration.kinds)} request kinds")
    return 0


def _run_load(parsed: argparse.Namespace) -> int:
    inventory = typing.cast(model.InventoryDocument,
                            check.load_file(parsed.inventory))
    problems = check.check_documents(inventory, {}, parsed.inventory)
    if problems:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        "\n".join(map(str, problems)))
    keys = typing.cast(dict[str, str], check.load_file(parsed.keys))
    missing = [
        item["name"]
        for item in inventory["workspaces"]
        if item["name"] not in keys
    ]
    if missing:
        raise errors.ConfigurationError(
            errors.Code.BAD_REQUEST,
            f"{parsed.keys}: no key for the workspaces {', '.join(missing)}")
    planned = load.plan(inventory, parsed.rate, parsed.duration, parsed.seed)
    with load.running_balancer(parsed.daemon or ["127.0.0.1:8080"]) as balancer:
        results = load.run(planned, balancer, keys, parsed.tries)
    print(json.dumps(load.summarise(results), indent=2))
    return 0
