"""Runs a whole deployment as processes on the loopback interface.

It consists of one platform stand-in, the engines and plain services of an
inventory, and a few daemons with links between them. The addresses of replicas
in the inventory are replaced by addresses with free ports.
"""

import collections.abc
import contextlib
import json
import pathlib
import subprocess
import time
import typing

import msgspec
import urllib3

from persimmonspan.connection import peer_keys
from persimmonspan.process import client
from persimmonspan.version import model
from testbed import processes

OPERATOR_TOKEN = "demo-operator"
_START_TIMEOUT_S = 30.0
_POLL_INTERVAL_S = 0.02
_READ_TIMEOUT_S = 2.0


class Daemon(typing.NamedTuple):
    """A daemon process and the address of its listener."""

    name: str
    address: str
    process: subprocess.Popen[bytes]


class Deployment(typing.NamedTuple):
    """A running deployment; `targets` maps replica names to processes."""

    inventory: model.InventoryDocument
    rules: model.RulesDocument
    platform_port: int
    targets: dict[str, subprocess.Popen[bytes]]
    daemons: list[Daemon]

    def keys(self) -> dict[str, str]:
        """Returns the API key of each workspace of a sample inventory."""
        return {
            item["name"]: f"demo-{item['name']}"
            for item in self.inventory["workspaces"]
        }


class Plan(typing.NamedTuple):
    """Size of a deployment and arguments of its processes."""

    sample: str = "plaza-verde"
    daemons: int = 3
    max_streams: int = 128
    engine_arguments: tuple[str, ...] = ()
    platform_arguments: tuple[str, ...] = ()
    directory: str = "out"


@contextlib.contextmanager
def running(plan: Plan) -> collections.abc.Iterator[Deployment]:
    """Runs a deployment until the block ends.

    Raises:
        TimeoutError: A process does not start or a daemon is not ready in time.
    """
    samples = pathlib.Path(__file__).parents[1] / "samples"
    inventory = json.loads(
        (samples / f"{plan.sample}-inventory.json").read_text())
    rules = json.loads((samples / f"{plan.sample}-rules.json").read_text())
    directory = pathlib.Path(plan.directory)
    directory.mkdir(parents=True, exist_ok=True)
    with contextlib.ExitStack() as stack:
        platform_port = processes.free_port()
        stack.enter_context(
            processes.running("testbed.platform",
                              "--port",
                              str(platform_port),
                              *plan.platform_arguments,
                              port=platform_port))
        targets = {
            replica["name"]:
                stack.enter_context(
                    start_target(replica, service["kind"],
                                 plan.engine_arguments))
            for service in inventory["services"]
            for replica in service["replicas"]
        }
        inventory_file = directory / "inventory.json"
        inventory_file.write_text(json.dumps(inventory))
        rules_file = directory / "rules.json"
        rules_file.write_text(json.dumps(rules))
        daemons = _start_daemons(stack, plan, directory, platform_port,
                                 inventory)
        deployment = Deployment(inventory, rules, platform_port, targets,
                                daemons)
        for daemon in daemons:
            wait_until_ready(daemon)
        yield deployment


@contextlib.contextmanager
def start_target(
    replica: model.ReplicaDocument,
    service_kind: str,
    engine_arguments: tuple[str, ...] = ()
) -> collections.abc.Iterator[subprocess.Popen[bytes]]:
    """Runs a replica's stand-in on a free port; sets the replica's address."""
    port = processes.free_port()
    replica["address"] = f"127.0.0.1:{port}"
    is_model = service_kind == "model"
    module = "testbed.engine" if is_model else "testbed.plain_service"
    arguments = engine_arguments if is_model else ()
    with processes.running(module, "--port", str(port), *arguments,
                           port=port) as process:
        yield process


def _start_daemons(stack: contextlib.ExitStack, plan: Plan,
                   directory: pathlib.Path, platform_port: int,
                   inventory: model.InventoryDocument) -> list[Daemon]:
    names = [f"daemon-{i + 1}" for i in range(plan.daemons)]
    public_key_lines = []
    for name in names:
        key_file = directory / f"{name}.key"
        key_file.unlink(missing_ok=True)
        public_key_lines.append(peer_keys.write_key_pair(str(key_file), name))
    public_keys_file = directory / "peers.pub"
    public_keys_file.write_text("\n".join(public_key_lines) + "\n")
    domains = inventory["places"][0]["failure_domains"]
    platform = f"127.0.0.1:{platform_port}"
    daemons = []
    for i, name in enumerate(names):
        port = processes.free_port()
        process = stack.enter_context(
            processes.running("persimmonspan",
                              "serve",
                              "--name",
                              name,
                              "--listen-address",
                              f"127.0.0.1:{port}",
                              "--failure-domain",
                              domains[i % len(domains)],
                              "--inventory",
                              str(directory / "inventory.json"),
                              "--rules",
                              str(directory / "rules.json"),
                              "--table-service",
                              platform,
                              "--object-store",
                              platform,
                              "--vm-list",
                              platform,
                              "--peer-address",
                              f"127.0.0.1:{processes.free_port()}",
                              "--peer-key-file",
                              str(directory / f"{name}.key"),
                              "--peer-public-keys-file",
                              str(public_keys_file),
                              "--max-streams",
                              str(plan.max_streams),
                              "--log-level",
                              "WARNING",
                              port=port))
        daemons.append(Daemon(name, f"127.0.0.1:{port}", process))
    return daemons


def wait_until_ready(daemon: Daemon) -> None:
    """Waits until a daemon reports on its readiness page that it is ready.

    Raises:
        TimeoutError: The daemon does not become ready in time.
    """
    end_s = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < end_s:
        response = urllib3.request("GET",
                                   f"http://{daemon.address}/readyz",
                                   timeout=_READ_TIMEOUT_S,
                                   retries=False)
        if response.status == 200:
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f"{daemon.name} does not become ready")


@contextlib.contextmanager
def operator(daemon: Daemon) -> collections.abc.Iterator[client.Client]:
    """Yields an administration client that is connected to a daemon."""
    with client.connect(client.Endpoint(daemon.address,
                                        OPERATOR_TOKEN)) as connection:
        yield connection


def read_runs(replica: model.ReplicaDocument) -> dict[str, int]:
    """Returns run counts of a stand-in, or none if it does not respond."""
    try:
        data = urllib3.request("GET",
                               f"http://{replica['address']}/v1/runs",
                               timeout=_READ_TIMEOUT_S,
                               retries=False).data
    except urllib3.exceptions.HTTPError:
        return {}
    return msgspec.json.decode(data, type=dict[str, int])
