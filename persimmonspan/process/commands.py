"""Subcommands that call the administration API of a daemon."""

import argparse
import collections.abc
import json
import os
import time
import typing
import urllib.parse

from persimmonspan import errors
from persimmonspan.process import client
from persimmonspan.process import operations
from persimmonspan.process import screen
from persimmonspan.process import settings
from persimmonspan.version import check
from persimmonspan.version import model

EXIT_PENDING = 6
_POLL_INTERVAL_S = 0.5
_CLEAR_SCREEN = "\x1b[2J\x1b[H"

_Subparsers = typing.Any  # argparse has no public name for the type.


def add_parsers(commands: _Subparsers) -> None:
    """Adds the operators' subcommands."""
    _add_apply(commands)
    _add_status(commands)
    _add_drain(commands)
    _add_outcomes(commands)
    _add_quarantine(commands)
    _add_keys(commands)
    explain = _add_parser(commands, "explain", _run_explain,
                          "show recent decisions about a request")
    explain.add_argument("request_id", help="value of X-Request-Id")
    audit = _add_parser(commands, "audit", _run_audit,
                        "list accepted changes and who made them")
    audit.add_argument("--after", type=int, default=0, help="revision")


def _add_parser(commands: _Subparsers, name: str, run: collections.abc.Callable[
    [argparse.Namespace, client.Client], int],
                description: str) -> argparse.ArgumentParser:
    parser = commands.add_parser(name,
                                 help=description,
                                 description=description.capitalize() + ".")
    for flag, default, text in (
        ("--daemon", "127.0.0.1:8080", "address and port of any daemon"),
        ("--token", None, "operator token"),
        ("--ca-certificate", None,
         "PEM file with CA certificates to verify the daemon"),
    ):
        variable = settings.variable_name(flag)
        parser.add_argument(flag,
                            default=os.environ.get(variable, default),
                            help=f"{text} (environment variable {variable})")
    parser.add_argument("--tls", action="store_true", help="use TLS")

    def run_connected(parsed: argparse.Namespace) -> int:
        endpoint = client.Endpoint(parsed.daemon, parsed.token or "",
                                   parsed.ca_certificate, parsed.tls)
        with client.connect(endpoint) as connection:
            return run(parsed, connection)

    parser.set_defaults(run=run_connected)
    return parser


def _print_json(document: object) -> int:
    print(json.dumps(document, indent=2))
    return 0


def _print_commit(result: operations.CommitDocument) -> int:
    for line in result["changes"]:
        print(line)
    if result["is_dry_run"]:
        print(f"dry run: nothing was changed, revision {result['revision']}")
    else:
        merged = " (merged with another change)" if result["is_merged"] else ""
        print(f"revision {result['revision']} accepted{merged}")
    return 0


def _add_apply(commands: _Subparsers) -> None:
    parser = _add_parser(commands, "apply", _run_apply,
                         "replace the inventory and rules in force")
    parser.add_argument("inventory", help="inventory file")
    parser.add_argument("rules", help="rules file")
    parser.add_argument("--base-revision",
                        type=int,
                        help="revision that the files were derived from "
                        "(default: the revision in force)")
    parser.add_argument("--dry-run",
                        action="store_true",
                        help="show the difference and change nothing")


def _run_apply(parsed: argparse.Namespace, connection: client.Client) -> int:
    inventory = check.load_file(parsed.inventory)
    rules = check.load_file(parsed.rules)
    problems = check.check_documents(inventory, rules, parsed.inventory,
                                     parsed.rules)
    if problems:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        "\n".join(map(str, problems)))
    base = parsed.base_revision
    if base is None:
        base = connection.call("GET", "/configuration")["revision"]
    proposed = operations.Documents(
        base, typing.cast(model.InventoryDocument, inventory),
        typing.cast(model.RulesDocument, rules))
    return _print_commit(connection.apply(proposed, parsed.dry_run))


def _add_status(commands: _Subparsers) -> None:
    parser = _add_parser(
        commands, "status", _run_status,
        "show targets, queues, refusals, revisions and the store")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--watch",
                        type=float,
                        metavar="SECONDS",
                        help="repeat until interrupted")


def _run_status(parsed: argparse.Namespace, connection: client.Client) -> int:
    while True:
        status = connection.call("GET", "/status")
        if parsed.json:
            _print_json(status)
        else:
            prefix = _CLEAR_SCREEN if parsed.watch else ""
            print(prefix + "\n".join(screen.status_lines(status)))
        if not parsed.watch:
            return 0
        time.sleep(parsed.watch)


def _add_drain(commands: _Subparsers) -> None:
    parser = _add_parser(commands, "drain", _run_drain,
                         "stop sending new work to a target or daemon")
    parser.add_argument("what", choices=["target", "daemon"])
    parser.add_argument("name", help="name of the target or daemon")
    parser.add_argument("--undo",
                        action="store_true",
                        help="resume sending new work to it")
    parser.add_argument("--wait",
                        type=float,
                        metavar="SECONDS",
                        help="wait until this daemon has no requests "
                        "outstanding on the target; exit code "
                        f"{EXIT_PENDING} if it still has some")


def _run_drain(parsed: argparse.Namespace, connection: client.Client) -> int:
    verb = "undrain" if parsed.undo else "drain"
    _print_commit(
        connection.call("POST", f"/{parsed.what}s/{parsed.name}/{verb}"))
    if parsed.undo or parsed.wait is None or parsed.what == "daemon":
        return 0
    end_s = time.monotonic() + parsed.wait
    while True:
        outstanding = sum(target["outstanding"]
                          for target in connection.call("GET", "/targets")
                          if target["name"] == parsed.name)
        if outstanding == 0:
            print(f"target {parsed.name} has no requests outstanding here")
            return 0
        if time.monotonic() > end_s:
            print(f"target {parsed.name} still has {outstanding} requests "
                  "outstanding")
            return EXIT_PENDING
        time.sleep(_POLL_INTERVAL_S)


def _add_outcomes(commands: _Subparsers) -> None:
    parser = _add_parser(commands, "outcomes", _run_outcomes,
                         "list calls with an unknown outcome, or settle one")
    parser.add_argument("--workspace", help="only this workspace")
    parser.add_argument("--settle",
                        metavar="KEY",
                        help="key of the call, as listed")
    parser.add_argument("--as",
                        dest="run_state",
                        choices=["ran", "not_run"],
                        help="whether the call ran")
    parser.add_argument("--note",
                        default="",
                        help="how the outcome was established")
    parser.add_argument("--holder-stopped",
                        action="store_true",
                        help="the process that claimed the call has certainly "
                        "ended; required to settle a claimed call as not_run")


def _run_outcomes(parsed: argparse.Namespace, connection: client.Client) -> int:
    if parsed.settle is None:
        query = {"workspace": parsed.workspace} if parsed.workspace else {}
        return _print_json(connection.call("GET", "/outcomes", **query))
    if parsed.workspace is None or parsed.run_state is None:
        raise errors.ConfigurationError(errors.Code.BAD_REQUEST,
                                        "--settle needs --workspace and --as")
    key = urllib.parse.quote(parsed.settle, safe="")
    connection.call(
        "POST", f"/outcomes/{parsed.workspace}/{key}/settle", {
            "run_state": parsed.run_state,
            "note": parsed.note,
            "holder_stopped": parsed.holder_stopped
        })
    print(f"call {parsed.settle} of {parsed.workspace} settled as "
          f"{parsed.run_state}")
    return 0


def _add_quarantine(commands: _Subparsers) -> None:
    parser = _add_parser(commands, "quarantine", _run_quarantine,
                         "list quarantined fingerprints, or lift a quarantine")
    parser.add_argument("--lift", metavar="FINGERPRINT")


def _run_quarantine(parsed: argparse.Namespace,
                    connection: client.Client) -> int:
    if parsed.lift is None:
        return _print_json(connection.call("GET", "/quarantine"))
    connection.call("DELETE", f"/quarantine/{parsed.lift}")
    print(f"quarantine of {parsed.lift} lifted")
    return 0


def _add_keys(commands: _Subparsers) -> None:
    parser = _add_parser(commands, "keys", _run_keys,
                         "issue or revoke a key of a workspace")
    parser.add_argument("workspace")
    parser.add_argument("--revoke",
                        metavar="SHA256",
                        help="digest of the key to revoke; without this flag, "
                        "a new key is issued and shown once")


def _run_keys(parsed: argparse.Namespace, connection: client.Client) -> int:
    path = f"/workspaces/{parsed.workspace}/keys"
    if parsed.revoke is not None:
        return _print_commit(
            connection.call("DELETE", f"{path}/{parsed.revoke}"))
    return _print_json(connection.call("POST", path))


def _run_explain(parsed: argparse.Namespace, connection: client.Client) -> int:
    path = f"/requests/{parsed.request_id}/decisions"
    for item in connection.call("GET", path):
        print(f"{item['age_s']:8.3f} s ago  {item['decision']}")
    return 0


def _run_audit(parsed: argparse.Namespace, connection: client.Client) -> int:
    for item in connection.call("GET", "/audit", after=str(parsed.after)):
        print(f"revision {item['revision']}  {item['actor']}  "
              f"{'; '.join(item['changes'])}")
    return 0
