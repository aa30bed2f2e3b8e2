"""What each role of a daemon costs at the two-year size.

Rates and sizes come from section 1.5 of the design page and from constants of
the modules; slopes are measured. What neither gives is listed in `ASSUMED`.
"""

import math
import typing

from persimmonspan.process import configuration_actor
from persimmonspan.process import registration
from persimmonspan.process import report_poller
from persimmonspan.request import choice

DAEMONS = 330
REPLICAS = 2300
WORKSPACES = 220
MODELS = 8
STREAMS = 400
REQUESTS_PER_S = 13_000 / DAEMONS
TOKENS_PER_S = 11_000
CHANGES_PER_S = 1800 / 86_400
CORE_BUDGET = 0.012
MEMORY_BUDGET_MB = 128.0
BYTES_BUDGET_PER_S = 15_000.0
WRITES_BUDGET_PER_S = 300.0
READS_BUDGET_PER_S = 2000.0

_PROGRESS_PER_S = 4.0  # One event per stream and 0.25 s.
_TICKS_PER_S = 20.0
_GOSSIP_LOADS = 5
# The daemons of a failure domain share one read a second, see
# process/stored_parts.py; registration adds its own.
_VM_READS_PER_S = 1.0
_LEDGER_SHARE = 0.02
_HEAD_BYTES = 400
_SCRAPE_S = 15.0
_REASONS = 80
_QUEUED = 800
_KINDS = 8
_US = 1e-6
_MB = 1e6

ASSUMED = (
    f"{_LEDGER_SHARE:.0%} of the requests are not idempotent",
    "each of the 8 models is a service of its own, so that a daemon's subset "
    f"is 8 x {choice.MAX_SUBSET_TARGETS} targets",
    f"{_KINDS} request kinds, each used by each workspace",
    f"{_QUEUED} requests queued, as many as run with half the daemons gone",
    "FirstToken costs as much as Progressed",
    "a peer tells the scheduler loads of 24 targets and is kept for all 192",
    f"a read of the configuration head moves {_HEAD_BYTES} bytes with headers",
    "a scheduler step costs with 192 targets in 8 services what it costs with "
    "24 in one",
    "a daemon gossips about 24 loads, 5 of which fit into a digest",
    "gossip receives as much as it sends",
    "the answer that a ledger row keeps has 256 bytes",
    "rows and VMs are as long as in the stand-ins of the testbed",
    "the VM list names daemons and replicas, one VM each",
    f"metrics are read every {_SCRAPE_S:.0f} s with {_REASONS} reasons",
    "one administration request a second in the whole system, 10 operators",
)


class Role(typing.NamedTuple):
    """Cost of a role in one daemon; None is not measured or not built.

    `is_control` says whether it counts against the budget for control.
    """

    name: str
    mechanism: str
    state: str
    is_control: bool
    messages_per_s: float | None = None
    core_share: float | None = None
    memory_mb: float | None = None
    bytes_per_s: float | None = None
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    note: str = ""


def roles(measured: dict[str, typing.Any]) -> list[Role]:
    """Returns all roles from the measured slopes."""
    return [
        _request_path(measured),
        _scheduler(measured["scheduler"]),
        _load_reports(measured),
        _gossip(measured),
        _registration(measured["registry"]),
        _vm_list(measured["registry"]),
        _configuration(measured),
        _ledger(measured["ledger"]),
        Role("control orders and leases",
             "process/orders.py, process/leases.py",
             "desired and reported state per engine; lease rows",
             True,
             note="not built: no daemon starts these modules"),
        _administration(measured["administration"]),
        _metrics(measured["administration"]),
    ]


def _request_path(measured: dict[str, typing.Any]) -> Role:
    line = measured["configuration"]["target map of a request us"]
    return Role("request path",
                "connection/relay.py, request/handler.py",
                f"{STREAMS} streams",
                False,
                TOKENS_PER_S + 2 * REQUESTS_PER_S,
                REQUESTS_PER_S * line.at(REPLICAS) * _US,
                note="processor time is that of the map of all targets that "
                "each request builds; for the relay see below")


def scheduler_rates() -> dict[str, float]:
    """Returns the events a second of one daemon's scheduler."""
    return {
        "Arrived": REQUESTS_PER_S,
        "Progressed": STREAMS * _PROGRESS_PER_S + REQUESTS_PER_S,
        "AttemptEnded": REQUESTS_PER_S,
        "Tick": _TICKS_PER_S,
    }


def _scheduler(measured: dict[str, typing.Any]) -> Role:
    steps = measured["step_us"]
    rates = scheduler_rates()
    core = sum(rate * steps["running requests"][kind].at(STREAMS) * _US
               for kind, rate in rates.items())
    changes = CHANGES_PER_S * steps["targets in the inventory"][
        "TargetsChanged"].at(REPLICAS) * _US
    memory = measured["memory_bytes"]
    used = (
        STREAMS * memory["running request"].slope +
        _QUEUED * memory["queued request"].slope +
        WORKSPACES * _KINDS * memory["workspace x kind lane"].slope +
        targets() * memory["target"].slope +
        mates() * memory["peer"].slope * targets() / choice.MAX_SUBSET_TARGETS)
    return Role("scheduler",
                "process/scheduler_actor.py, request/scheduler.py",
                f"{STREAMS} running, {_QUEUED} queued, "
                f"{WORKSPACES * _KINDS} lanes, {targets()} targets, "
                f"{mates():.0f} peers",
                False,
                sum(rates.values()),
                core + changes,
                used / _MB,
                note=f"Progressed {rates['Progressed']:.0f}/s, Tick "
                f"{_TICKS_PER_S:.0f}/s; steps for reports and peers are "
                "counted under control")


def _load_reports(all_measured: dict[str, typing.Any]) -> Role:
    measured = all_measured["load_reports"]
    report_step_us = all_measured["scheduler"]["step_us"]["running requests"][
        "LoadReported"]
    rate = report_poller.POLLS_PER_S
    return Role("load reports",
                "process/report_poller.py",
                f"incarnation of {targets()} targets",
                True,
                rate,
                rate *
                (measured["polls_us"].slope + report_step_us.at(STREAMS)) * _US,
                None,
                rate * measured["bytes"],
                note=f"each target is polled every "
                f"{report_poller.interval_s(targets()):.1f} s")


def _gossip(all_measured: dict[str, typing.Any]) -> Role:
    measured = all_measured["gossip"]
    peer_step_us = all_measured["scheduler"]["step_us"]["peers"]["PeerLoad"]
    messages = 2 * measured["sent_messages_per_s"].points[-1][1]
    core = (measured["round_us"].at(DAEMONS) +
            messages * measured["digest_codec_us"].at(_GOSSIP_LOADS) / 2 +
            mates() * peer_step_us.at(mates()))
    return Role("gossip and membership",
                "process/gossip.py, process/membership.py, connection/peer.py",
                f"{DAEMONS} members, {mates():.0f} links to mates",
                True,
                messages,
                core * _US,
                measured["memory_bytes"].at(DAEMONS) / _MB,
                2 * measured["sent_bytes_per_s"].points[-1][1],
                note="decision, encoding and the scheduler's PeerLoad "
                "steps; without sockets and CURVE, hence a lower bound")


def _registration(measured: dict[str, typing.Any]) -> Role:
    rate = 1 / registration.interval_s(DAEMONS)
    return Role("member rows",
                "process/registration.py",
                f"{DAEMONS} rows",
                True,
                rate,
                rate * measured["scan_us"].at(DAEMONS) * _US,
                None,
                rate * measured["scan_bytes"].at(DAEMONS),
                reads_per_s=rate,
                note=f"the scans of all daemons move "
                f"{rate * DAEMONS * DAEMONS:,.0f} rows/s")


def _vm_list(measured: dict[str, typing.Any]) -> Role:
    rate = (_VM_READS_PER_S / (1 + mates()) +
            1 / registration.interval_s(DAEMONS))
    vms = DAEMONS + REPLICAS
    return Role("VM list",
                "process/stored_parts.py, connection/vm_list.py",
                f"{vms} VMs",
                True,
                rate,
                rate * measured["vm_list_us"].at(vms) * _US,
                None,
                rate * measured["vm_list_bytes"].at(vms),
                note="not a read of the table service")


def _configuration(measured: dict[str, typing.Any]) -> Role:
    lines = measured["configuration"]
    polls = 1 / configuration_actor.POLL_INTERVAL_S
    change_us = sum(lines[f"{name} us"].at(REPLICAS)
                    for name in ("apply", "build", "encode"))
    changed_bytes = lines["difference bytes"].at(REPLICAS)
    return Role("configuration",
                "process/configuration_actor.py, version/adoption.py",
                f"documents of {REPLICAS} replicas and {WORKSPACES} workspaces",
                True,
                polls + CHANGES_PER_S,
                polls * measured["ledger"]["reads_us"].slope * _US +
                CHANGES_PER_S * change_us * _US,
                lines["memory bytes"].at(REPLICAS) / _MB,
                polls * _HEAD_BYTES + CHANGES_PER_S * changed_bytes,
                reads_per_s=polls,
                writes_per_s=CHANGES_PER_S / DAEMONS,
                note=f"a whole document is "
                f"{lines['document bytes'].at(REPLICAS) / 1000:.0f} KB; the "
                f"check of a commit takes "
                f"{lines['check us'].at(REPLICAS) / 1000:.0f} ms of processor")


def _ledger(measured: dict[str, typing.Any]) -> Role:
    calls = REQUESTS_PER_S * _LEDGER_SHARE
    alone_writes = measured["writes_per_call"].points[0][1]
    alone_reads = measured["reads_per_call"].points[0][1]
    row_bytes = measured["row_bytes"].at(256)
    return Role("ledger",
                "request/at_most_once.py, process/store_actor.py",
                "rows in the table service",
                False,
                calls * alone_writes,
                calls * measured["call_us"].points[0][1] * _US,
                None,
                calls * alone_writes * row_bytes,
                reads_per_s=calls * alone_reads,
                writes_per_s=calls * alone_writes,
                note=f"{calls:.2f} calls/s in a daemon, so that rows seldom "
                "share a transaction; rows are never removed: "
                f"{calls * DAEMONS * 86_400 * row_bytes / 1e9:.0f} GB a day")


def _administration(measured: dict[str, typing.Any]) -> Role:
    rate = 1 / DAEMONS
    return Role("administration",
                "process/admin.py, process/access.py",
                "operators of the configuration",
                False,
                rate,
                rate * measured["identify_us"].at(10) * _US,
                note="only the search for the operator is measured")


def _metrics(measured: dict[str, typing.Any]) -> Role:
    return Role("metrics",
                "process/metrics.py",
                f"{_REASONS} counters, 2 histograms",
                False,
                REQUESTS_PER_S + 1 / _SCRAPE_S,
                (REQUESTS_PER_S * measured["count_us"].at(_REASONS) +
                 measured["exposition_us"].at(_REASONS) / _SCRAPE_S) * _US,
                measured["memory_bytes"].at(_REASONS) / _MB,
                measured["exposition_bytes"].at(_REASONS) / _SCRAPE_S,
                note="one count per request")


def mates() -> float:
    """Returns the other daemons of a failure domain.

    >>> math.floor(mates())
    26
    """
    return DAEMONS / 12 - 1


def targets() -> int:
    """Returns the targets that a daemon sends to and polls.

    >>> targets()
    192
    """
    return MODELS * min(choice.MAX_SUBSET_TARGETS, math.ceil(REPLICAS / MODELS))
