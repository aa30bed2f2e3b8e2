"""Fixtures that run a daemon and its targets, each target behind a proxy."""

import contextlib
import json
import pathlib
import typing

import pytest
import urllib3

from testbed import processes
from testbed import tcp_proxy

_SAMPLES = pathlib.Path(__file__).parents[1] / "samples"
KEY = {"Authorization": "Bearer demo-miraflores"}
_RULES = {
    "timeouts": {
        "connect_ms": 500,
        "first_token_ms": 1500,
        "between_tokens_ms": 500,
        "request_ms": 20000
    },
    "default_limits": {
        "prompt_tokens": 10000,
        "output_tokens": 5000
    }
}
_ENGINE = ("--mean-tokens", "40", "--fixed-length", "--token-interval-ms", "5")


class Deployment(typing.NamedTuple):
    """A running daemon with its targets and their proxies."""

    port: int
    daemon: typing.Any
    proxies: dict[str, tcp_proxy.Proxy]
    targets: dict[str, typing.Any]  # Process and port by target name.
    pool: urllib3.PoolManager

    def post(self, path="/v1/completions", headers=None, **options):
        """Sends a request of the workspace miraflores."""
        return self.pool.request("POST",
                                 f"http://127.0.0.1:{self.port}{path}",
                                 headers={
                                     **KEY,
                                     **(headers or {})
                                 },
                                 retries=False,
                                 **options)

    def read(self, target, path):
        """Reads a page of a target directly, not through its proxy."""
        port = self.targets[target][1]
        return self.pool.request("GET", f"http://127.0.0.1:{port}{path}").json()

    def counters(self):
        """Returns the event counters by reason."""
        lines = self.pool.request(
            "GET", f"http://127.0.0.1:{self.port}/metrics").data.decode()
        return {
            line.split('"')[1]: float(line.split()[-1])
            for line in lines.splitlines()
            if line.startswith("persimmonspan_events_total{")
        }


@contextlib.contextmanager
def running_deployment(folder, *arguments, replicas=2):
    """Runs a deployment until the block ends.

    Args:
        folder: Folder for the inventory and the rules.
        *arguments: Further command line arguments of the daemon.
        replicas: Number of targets of each service.
    """
    inventory = json.loads(
        (_SAMPLES / "plaza-verde-inventory.json").read_text())
    proxies, targets = {}, {}
    with contextlib.ExitStack() as stack:
        for service in inventory["services"]:
            service["replicas"] = service["replicas"][:replicas]
            module, options = (("testbed.engine",
                                _ENGINE) if service["kind"] == "model" else
                               ("testbed.plain_service", ()))
            for replica in service["replicas"]:
                target = _start_target(stack, module, options)
                proxy = stack.enter_context(tcp_proxy.running(target[1]))
                replica["address"] = f"127.0.0.1:{proxy.port}"
                proxies[replica["name"]] = proxy
                targets[replica["name"]] = target
        (folder / "inventory").write_text(json.dumps(inventory))
        (folder / "rules").write_text(json.dumps(_RULES))
        port = processes.free_port()
        daemon = stack.enter_context(
            processes.running("persimmonspan",
                              "serve",
                              "--listen-address",
                              f"127.0.0.1:{port}",
                              "--inventory",
                              str(folder / "inventory"),
                              "--rules",
                              str(folder / "rules"),
                              "--max-streams",
                              "16",
                              *arguments,
                              port=port))
        pool = stack.enter_context(urllib3.PoolManager())
        yield Deployment(port, daemon, proxies, targets, pool)


def _start_target(stack, module, options):
    port = processes.free_port()
    process = processes.running(module,
                                "--port",
                                str(port),
                                *options,
                                port=port)
    return stack.enter_context(process), port


@pytest.fixture(name="deploy")
def _deploy(tmp_path):
    """Returns a function that runs a deployment in the folder of the test."""
    return lambda *arguments, **options: running_deployment(
        tmp_path, *arguments, **options)


@pytest.fixture(name="shared", scope="module")
def _shared(tmp_path_factory):
    """Runs a deployment shared by the tests of a module.

    These tests must leave the deployment as they found it.
    """
    with running_deployment(tmp_path_factory.mktemp("shared"),
                            "--read-timeout-s", "1", "--write-timeout-s", "1",
                            "--max-body-bytes", "100000") as deployment:
        yield deployment
