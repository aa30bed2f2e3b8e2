"""Slopes of configuration documents and of ledger rows.

The ledger writes through the store actor to a stand-in of the platform, which
counts transactions and reads.
"""

import concurrent.futures
import copy
import pathlib
import re
import tempfile
import time
import typing

import msgspec
import urllib3

from bench import capacity_fit
from persimmonspan.process import configuration_actor
from persimmonspan.process import ledger_rows
from persimmonspan.process import store_actor
from persimmonspan.request import at_most_once
from persimmonspan.request import ledger_events
from persimmonspan.version import check
from persimmonspan.version import difference
from persimmonspan.version import model
from testbed import processes

_SIZES = ((575, 55), (1150, 110), (2300, 220))
_MODELS = 8
_FAILURE_DOMAINS = 12
_CALLS = 3
_ANSWERS = (0, 256, 1024)
_CALLERS = (1, 8, 32)
_LEDGER_CALLS = 64
_DAEMONS = 8
_WAIT_S = 60.0
_SETTLE_S = 2.0
_READS = (20, 40, 80)


def inventory(replicas: int, workspaces: int) -> model.InventoryDocument:
    """Returns an inventory of a size, with 8 model services."""
    domains = [f"domain-{i:02d}" for i in range(_FAILURE_DOMAINS)]
    services: list[model.ServiceDocument] = [{
        "name": f"quote-model-{i}",
        "kind": "model",
        "models": [f"model-{i}"],
        "checks_fencing": True,
        "replicas": []
    } for i in range(_MODELS)]
    for i in range(replicas):
        services[i % _MODELS]["replicas"].append({
            "name": f"quote-model-{i % _MODELS}-{i:04d}",
            "address": f"127.{1 + i % 5}.{i // 256}.{i % 256}:9",
            "failure_domain": domains[i % _FAILURE_DOMAINS],
            "kv_capacity_tokens": 65_536,
            "max_running": 64
        })
    return {
        "places": [{
            "name": "nordeste",
            "failure_domains": domains
        }],
        "services":
            services,
        "workspaces": [{
            "name": f"workspace-{i:03d}",
            "share": 1.0 + i % 5,
            "key_sha256": [f"{i:064x}"],
            "limits": {
                "concurrent_requests": 200,
                "requests_per_s": 100.0
            }
        } for i in range(workspaces)],
        "request_kinds": [{
            "name": f"quotation-{i}",
            "service": f"quote-model-{i}",
            "worth": 5.0,
            "size": "short",
            "idempotent": True,
            "deadline_ms": 20_000
        } for i in range(_MODELS)]
    }


def idle_daemon_mb() -> capacity_fit.Line:
    """Returns the resident memory of a daemon without work, by replicas."""
    points = []
    for replicas, workspaces in _SIZES:
        port = processes.free_port()
        with tempfile.TemporaryDirectory() as name:
            file = pathlib.Path(name, "inventory.json")
            file.write_bytes(
                msgspec.json.encode(inventory(replicas, workspaces)))
            with processes.running("persimmonspan",
                                   "serve",
                                   "--name",
                                   "capacity",
                                   "--listen-address",
                                   f"127.0.0.1:{port}",
                                   "--inventory",
                                   str(file),
                                   "--log-level",
                                   "ERROR",
                                   port=port) as process:
                time.sleep(_SETTLE_S)
                status = pathlib.Path(f"/proc/{process.pid}/status").read_text(
                    encoding="utf-8")
        resident_kb = re.search(r"VmRSS:\s+(\d+)", status)
        assert resident_kb is not None
        points.append((replicas, int(resident_kb.group(1)) / 1000))
    return capacity_fit.line(points)


def configuration_lines() -> dict[str, capacity_fit.Line]:
    """Returns bytes and times of a configuration by replicas."""
    points: dict[str, list[tuple[float, float]]] = {}
    for replicas, workspaces in _SIZES:
        base = {"inventory": inventory(replicas, workspaces), "rules": {}}
        new = copy.deepcopy(base)
        new["inventory"]["services"][0]["replicas"][0]["leaving"] = True
        data = msgspec.json.encode(base)
        edits = difference.compute_edits(base, new)
        encoded = difference.encode(edits)
        found = check.build_configuration(1, base["inventory"], {})
        calls: dict[str, typing.Callable[[], object]] = {
            "decode":
                lambda d=data: msgspec.json.decode(d),
            "encode":
                lambda b=base: msgspec.json.encode(b),
            "check":
                lambda b=base: check.check_documents(b["inventory"], b["rules"],
                                                     "inventory", "rules"),
            "build":
                lambda b=base: check.build_configuration(1, b["inventory"], {}),
            "difference":
                lambda b=base, n=new: difference.compute_edits(b, n),
            "apply":
                lambda b=base, e=encoded: difference.apply(
                    b, difference.decode(e)),
            # The expression of request/handler.py `_run`.
            "target map of a request":
                lambda f=found: {
                    target.name: target for service in f.services
                    for target in service.targets
                },
        }
        for name, call in calls.items():
            points.setdefault(f"{name} us", []).append(
                (replicas, capacity_fit.microseconds(call, _CALLS)))
        points.setdefault("document bytes", []).append((replicas, len(data)))
        points.setdefault("difference bytes", []).append(
            (replicas, len(encoded)))
        points.setdefault("memory bytes", []).append(
            (replicas,
             capacity_fit.traced_bytes(
                 lambda d=data: (d, b := msgspec.json.decode(
                     d), check.build_configuration(1, b["inventory"], {})))))
    return {name: capacity_fit.line(rows) for name, rows in points.items()}


def ledger_lines() -> dict[str, typing.Any]:
    """Returns bytes per row, and store operations per call by callers."""
    result: dict[str, typing.Any] = {
        "row_bytes":
            capacity_fit.line((size, len(ledger_events.encode(_row(size))))
                              for size in _ANSWERS)
    }
    writes, reads, times_us = [], [], []
    port = processes.free_port()
    with processes.running("testbed.platform", "--port", str(port), port=port):
        for callers in _CALLERS:
            name = f"callers-{callers}"
            client = store_actor.start(f"127.0.0.1:{port}", name, 1)
            client.set_daemon_count(_DAEMONS)
            start_ns = time.process_time_ns()
            run_calls(ledger_rows.LedgerRows(client), callers, name)
            spent_us = (time.process_time_ns() - start_ns) / 1000
            stats = urllib3.request("GET",
                                    f"http://127.0.0.1:{port}/stats").json()
            client.stop()
            writes.append((callers, stats[name]["writes"] / _LEDGER_CALLS))
            reads.append((callers, stats[name].get("reads", 0) / _LEDGER_CALLS))
            times_us.append((callers, spent_us / _LEDGER_CALLS))
        client = store_actor.start(f"127.0.0.1:{port}", "reader", 1)
        result["reads_us"] = capacity_fit.line(
            (count, _read_us(client, count)) for count in _READS)
        client.stop()
    return result | {
        "writes_per_call": capacity_fit.line(writes),
        "reads_per_call": capacity_fit.line(reads),
        "call_us": capacity_fit.line(times_us)
    }


def run_calls(rows: ledger_rows.LedgerRows, callers: int, name: str) -> None:
    """Runs calls through the ledger, so many at the same time.

    Raises:
        errors.PersimmonspanError: A call was refused.
    """
    context = at_most_once.Context(rows, ledger_events.Holder(name, "1"))
    answer = ledger_events.Response(200, "application/json", b"{}")

    def call(number: int) -> None:
        request = at_most_once.Request(name, f"fee-{number}", "d" * 64,
                                       time.monotonic() + _WAIT_S)
        at_most_once.run(context, request, lambda attempt: answer)

    with concurrent.futures.ThreadPoolExecutor(callers) as pool:
        list(pool.map(call, range(_LEDGER_CALLS)))


def _read_us(client: store_actor.Client, count: int) -> float:
    start_ns = time.process_time_ns()
    for _ in range(count):
        configuration_actor.read_head(client)
    return (time.process_time_ns() - start_ns) / 1000


def _row(answer_bytes: int) -> ledger_events.RowDocument:
    return {
        "state":
            ledger_events.RowState.RECORDED,
        "attempt":
            "a" * 32,
        "daemon":
            "daemon-001",
        "incarnation":
            "1800000000000",
        "digest":
            "d" * 64,
        "claimed_at_s":
            1_800_000_000.5,
        "answer":
            ledger_events.Response(200, "application/json",
                                   b"x" * answer_bytes),
        "note":
            ""
    }
