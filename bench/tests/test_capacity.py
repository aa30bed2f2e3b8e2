"""Guards the sums of the capacity page against wrong rates and verdicts."""

import pathlib
import re

import pytest

from bench import capacity_fit
from bench import capacity_page
from bench import capacity_roles


def _flat(value):
    return capacity_fit.line([(1.0, value), (2.0, value), (4.0, value)])


def _measured(vm_list_bytes):
    sections = {
        "load_reports": ("polls_us",),
        "gossip": ("sent_messages_per_s", "sent_bytes_per_s", "round_us",
                   "digest_codec_us", "memory_bytes"),
        "registry": ("scan_us", "scan_bytes", "vm_list_us", "vm_list_bytes"),
        "configuration":
            ("target map of a request us", "apply us", "build us", "encode us",
             "check us", "difference bytes", "document bytes", "memory bytes"),
        "ledger": ("reads_us", "writes_per_call", "reads_per_call", "row_bytes",
                   "call_us"),
        "administration": ("identify_us", "count_us", "exposition_us",
                           "exposition_bytes", "memory_bytes")
    }
    measured = {
        section: {
            name: _flat(0.0) for name in names
        } for section, names in sections.items()
    }
    measured["load_reports"]["bytes"] = 0
    measured["idle_daemon_mb"] = _flat(50.0)
    measured["registry"]["vm_list_bytes"] = _flat(vm_list_bytes)
    measured["ledger"]["writes_per_call"] = _flat(2.0)
    measured["scheduler"] = {
        "step_us": {
            "running requests": {
                kind: _flat(1.0)
                for kind in (*capacity_roles.scheduler_rates(), "LoadReported")
            },
            "peers": {
                "PeerLoad": _flat(0.0)
            },
            "targets in the inventory": {
                "TargetsChanged": _flat(0.0)
            }
        },
        "memory_bytes": {
            name: _flat(0.0)
            for name in ("running request", "queued request",
                         "workspace x kind lane", "target", "peer")
        },
        "parts": {
            "time_us": {},
            "memory_bytes": {}
        }
    }
    return measured


def test_rates_follow_from_the_size_of_the_system():
    found = {role.name: role for role in capacity_roles.roles(_measured(0.0))}
    # 39.4 arrivals, 1639.4 progress, 39.4 ends, 20 ticks of 1 us each.
    assert found["scheduler"].core_share == pytest.approx(1738.18e-6, rel=1e-4)
    # 13,000 requests/s of which 2% write twice, and 1,800 changes a day.
    writes = sum(role.writes_per_s for role in found.values())
    assert writes * capacity_roles.DAEMONS == pytest.approx(520.02, rel=1e-4)


@pytest.mark.parametrize("vm_list_bytes,verdict", [(270_000.0, "within"),
                                                   (300_000.0, "OVER")])
def test_verdict_changes_at_the_budget(vm_list_bytes, verdict):
    # A read in 27.5 s and one in 66 s, beside 400 bytes/s of the head.
    page = capacity_page.write(_measured(vm_list_bytes), pathlib.Path("none"))
    assert re.search(rf"\| bytes/s of control \|.*\| {verdict} \|", page)
    assert ("OVER: bytes/s of control" in page) is (verdict == "OVER")
    assert "not measured yet" in page
