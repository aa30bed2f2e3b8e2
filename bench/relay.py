"""Benchmark of the relay: `python -m bench.relay`.

Each round runs the same load three ways in a row: direct connections to the
engines, the bare relay (the baseline) and the daemon. Engines, relay and load
generators are processes of their own; the processor time is that of the relay
process alone, read from `/proc`. Rounds are compared within one run, as other
work on the VM changes what a second of processor time is worth.

Results go to `out/relay.json` and as a table to standard output.
"""

import argparse
import collections
import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import typing

import numpy

from testbed import processes

_ENGINES = 4
_LOADERS = 3
_RAMP_SHARE = 0.25
_DURATION_S = 16.0
_MARGIN_S = 0.5  # Between the window of the load and that of the relay.
_STEPS_PER_MS = 100.0
_PERCENTILES = (50, 95, 99)
_OUT = pathlib.Path("out/relay.json")
_KEY_SHA256 = (
    "ac2be6d03f6538ebc9107cae487f960385aadb3952c630472f132a56181aa643")


class Load(typing.NamedTuple):
    """One load."""

    streams: int
    tokens_per_s: float  # Over all streams.
    tokens: int  # Of each request.


TARGET_LOADS = (Load(400, 10_900.0, 272), Load(800, 22_000.0, 272))
# With the loads above, these tell apart what a stream, a token and a request
# cost.
SLOPE_LOADS = (Load(400, 2_000.0, 50), Load(800, 2_000.0,
                                            25), Load(400, 10_900.0, 68))


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--duration-s", type=float, default=_DURATION_S)
    parser.add_argument("--only",
                        choices=("direct", "bare", "daemon"),
                        action="append")
    parser.add_argument("--skip-slopes", action="store_true")
    parsed = parser.parse_args()
    kinds = parsed.only or ("direct", "bare", "daemon")
    results = []
    for number in range(parsed.rounds):
        for load in TARGET_LOADS:
            results += _round(load, kinds, number, parsed)
    if not parsed.skip_slopes:
        relays = [kind for kind in kinds if kind != "direct"]
        for load in SLOPE_LOADS:
            results += _round(load, relays, 0, parsed)
    report = {"results": results, "slopes": _slopes(results)}
    _OUT.parent.mkdir(exist_ok=True)
    _OUT.write_text(json.dumps(report, indent=1), encoding="utf-8")
    print(json.dumps(report["slopes"], indent=1))


def _round(load: Load, kinds: typing.Iterable[str], number: int,
           options: argparse.Namespace) -> list[dict[str, typing.Any]]:
    results = []
    for kind in kinds:
        result = {
            "round": number,
            "kind": kind,
            **load._asdict(),
            **_measure(load, kind, options)
        }
        results.append(result)
        print("  ".join(f"{k}={v:.4g}" if isinstance(v, float) else f"{k}={v}"
                        for k, v in result.items()),
              flush=True)
    return results


def _measure(load: Load, kind: str,
             options: argparse.Namespace) -> dict[str, float]:
    rate = load.tokens_per_s / load.streams
    with contextlib.ExitStack() as stack:
        engines = [processes.free_port() for _ in range(_ENGINES)]
        for port in engines:
            stack.enter_context(
                processes.running("bench.relay_engine",
                                  "--port",
                                  str(port),
                                  "--tokens-per-s",
                                  str(rate),
                                  port=port))
        relay = _start_relay(stack, kind, engines)
        ports = engines if relay is None else [relay[0]]
        loaders = [
            _start_loader(
                stack, load.streams // _LOADERS + (i < load.streams % _LOADERS),
                ports, load, options.duration_s) for i in range(_LOADERS)
        ]
        usage = (_watch(relay[1].pid, options) if relay is not None else {})
        outputs = [json.loads(loader.communicate()[0]) for loader in loaders]
    window_s = options.duration_s * (1 - _RAMP_SHARE)
    result = _merged(outputs, window_s)
    if usage:
        result.update(usage)
        result["us_per_token"] = usage["core"] / result["rate"] * 1e6
    return result


def _start_relay(
        stack: contextlib.ExitStack, kind: str,
        engines: list[int]) -> tuple[int, subprocess.Popen[bytes]] | None:
    port = processes.free_port()
    if kind == "direct":
        return None
    if kind == "bare":
        arguments = ["bench.relay_bare", "--port", str(port)]
        for engine in engines:
            arguments += ["--engine", f"127.0.0.1:{engine}"]
    else:
        # pylint: disable-next=consider-using-with
        temporary = tempfile.TemporaryDirectory()
        folder = stack.enter_context(temporary)
        path = pathlib.Path(folder, "inventory.json")
        path.write_text(json.dumps(_inventory(engines)), encoding="utf-8")
        arguments = [
            "persimmonspan", "serve", "--listen-address", f"127.0.0.1:{port}",
            "--inventory",
            str(path), "--log-level", "WARNING"
        ]
    return port, stack.enter_context(processes.running(*arguments, port=port))


def _start_loader(stack: contextlib.ExitStack, streams: int, ports: list[int],
                  load: Load, duration_s: float) -> subprocess.Popen[bytes]:
    command = [
        sys.executable, "-m", "bench.relay_load", "--streams",
        str(streams), "--tokens",
        str(load.tokens), "--duration-s",
        str(duration_s)
    ]
    for port in ports:
        command += ["--port", str(port)]
    if len(ports) > 1:
        command.append("--direct")
    # pylint: disable-next=consider-using-with
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    return stack.enter_context(process)


def _watch(pid: int, options: argparse.Namespace) -> dict[str, float]:
    """Reads the processor time and memory of the relay in the window."""
    time.sleep(options.duration_s * _RAMP_SHARE + _MARGIN_S)
    seconds = options.duration_s * (1 - _RAMP_SHARE) - 2 * _MARGIN_S
    before_s, start_s = processes.cpu_s(pid), time.monotonic()
    time.sleep(seconds)
    core = (processes.cpu_s(pid) - before_s) / (time.monotonic() - start_s)
    status = _read(f"/proc/{pid}/status").splitlines()
    resident_kb = next(
        int(line.split()[1]) for line in status if line.startswith("VmRSS"))
    return {"core": core, "resident_mb": resident_kb / 1024}


def _read(path: str) -> str:
    return pathlib.Path(path).read_text(encoding="utf-8")


def _merged(outputs: list[dict[str, typing.Any]],
            window_s: float) -> dict[str, float]:
    result: dict[str, float] = {
        "rate":
            sum(output["tokens"] for output in outputs) / window_s,
        "requests_per_s":
            sum(output["requests"] for output in outputs) / window_s,
        "failed":
            sum(output["failed"] for output in outputs)
    }
    for name in ("on_way_s", "gap_s", "first_s"):
        counts: collections.Counter[int] = collections.Counter()
        for output in outputs:
            counts.update(dict(zip(*output[name])))
        values = numpy.repeat(list(counts), list(counts.values()))
        if not values.size:
            raise ValueError(f"no samples of {name}: run for longer")
        for percentile in _PERCENTILES:
            key = f"{name.removesuffix('_s')}_p{percentile}_ms"
            result[key] = float(
                numpy.percentile(values, percentile) / _STEPS_PER_MS)
    return result


def _slopes(results: list[dict[str, typing.Any]]) -> dict[str, typing.Any]:
    """Fits processor time and memory to streams, tokens and requests."""
    slopes = {}
    for kind in ("bare", "daemon"):
        rows = [result for result in results if result["kind"] == kind]
        if len({row["tokens"] for row in rows}) < 3:
            continue
        matrix = [
            [row["streams"], row["rate"], row["requests_per_s"]] for row in rows
        ]
        core, *_ = numpy.linalg.lstsq(numpy.array(matrix),
                                      numpy.array([row["core"] for row in rows
                                                  ]),
                                      rcond=None)
        memory = numpy.polyfit([row["streams"] for row in rows],
                               [row["resident_mb"] for row in rows], 1)
        slopes[kind] = {
            "core_us_per_s_per_stream": core[0] * 1e6,
            "core_us_per_token": core[1] * 1e6,
            "core_us_per_request": core[2] * 1e6,
            "resident_kb_per_stream": memory[0] * 1024
        }
    return slopes


def _inventory(engines: list[int]) -> dict[str, typing.Any]:
    return {
        "places": [{
            "name": "lima",
            "failure_domains": ["lima-a"]
        }],
        "services": [{
            "name":
                "permit-model",
            "kind":
                "model",
            "models": ["permit-drafter"],
            "replicas": [{
                "name": f"permit-model-{port}",
                "address": f"127.0.0.1:{port}",
                "failure_domain": "lima-a",
                "kv_capacity_tokens": 10_000_000,
                "max_running": 1000
            } for port in engines]
        }],
        "workspaces": [{
            "name": "miraflores",
            "share": 1,
            "key_sha256": [_KEY_SHA256],
            "limits": {
                "concurrent_requests": 2000,
                "requests_per_s": 10_000
            }
        }],
        "request_kinds": [{
            "name": "permit-draft",
            "service": "permit-model",
            "worth": 1,
            "size": "long",
            "idempotent": True,
            "deadline_ms": 3_600_000
        }]
    }


if __name__ == "__main__":
    main()
