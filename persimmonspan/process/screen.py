"""Text screens of the status command.

Problems come first, so that an operator under stress sees them: a daemon that
is not ready, a store that is down, daemons with different revisions, and
targets with little new work or without a recent load report.
"""

import collections.abc

from persimmonspan.process import operations

_LOW_WEIGHT = 0.5
_LOW_TRUST = 0.5
_MAX_SHOWN_COUNTS = 12


def status_lines(status: operations.StatusDocument) -> list[str]:
    """Returns the lines of the status screen."""
    state = "draining" if status["is_draining"] else (
        "ready" if status["is_ready"] else "NOT READY")
    return [
        f"daemon {status['daemon']}  {state}  revision {status['revision']}  "
        f"store {status['store']}  in flight {status['in_flight']}",
        f"first token p99 {status['first_token_p99_s']:.3f} s   "
        f"between tokens p99 {status['between_tokens_p99_s']:.3f} s",
        *_section_lines("ATTENTION", problems(status)),
        *_section_lines("DAEMONS", map(_daemon_line, status["daemons"])),
        *_section_lines("TARGETS", map(_target_line, status["targets"])),
        *_section_lines("QUEUED BY KIND", _count_lines(
            status["queued_by_kind"])),
        *_section_lines("EVENTS BY REASON",
                        _count_lines(status["events_by_reason"])),
    ]


def problems(status: operations.StatusDocument) -> list[str]:
    """Returns the problems that need an operator's attention."""
    found = []
    if not status["is_ready"] and not status["is_draining"]:
        found.append("this daemon is withdrawn: it cannot verify that its "
                     "configuration is current, or it has none")
    if status["store"] != "up":
        found.append(f"store is {status['store']}: configuration changes and "
                     "non-idempotent calls are refused")
    revisions = {daemon["revision"] for daemon in status["daemons"]}
    if len(revisions) > 1:
        found.append(f"daemons differ in revision: {sorted(revisions)}")
    for target in status["targets"]:
        if target["is_leaving"]:
            continue
        if target["weight"] < _LOW_WEIGHT:
            found.append(f"target {target['name']} gets "
                         f"{target['weight']:.0%} of its share of new work")
        if target["kv_capacity_tokens"] and (target["report_trust"]
                                             < _LOW_TRUST):
            found.append(f"target {target['name']} has no recent load report")
    return found


def _section_lines(
        title: str,
        lines: collections.abc.Iterable[str]) -> collections.abc.Iterable:
    lines = list(lines)
    return ["", title, *("  " + line for line in lines)] if lines else []


def _daemon_line(daemon: operations.DaemonDocument) -> str:
    state = "draining" if daemon["is_draining"] else "up"
    return (f"{daemon['name']:<24} {daemon['failure_domain']:<14} "
            f"revision {daemon['revision']:<6} {state:<9} "
            f"heard {daemon['age_s']:.1f} s ago")


def _target_line(target: operations.TargetDocument) -> str:
    state = "leaving" if target["is_leaving"] else f"{target['weight']:.0%}"
    memory = ""
    if target["kv_capacity_tokens"]:
        share = target["kv_used_tokens"] / target["kv_capacity_tokens"]
        memory = f"memory {share:4.0%}  trust {target['report_trust']:.1f}"
    return (f"{target['name']:<24} {target['failure_domain']:<14} "
            f"{state:<8} outstanding {target['outstanding']:<5} {memory}")


def _count_lines(counts: dict[str, int]) -> list[str]:
    sorted_counts = sorted(counts.items(), key=lambda item: (-item[1], item[0]))
    return [
        f"{count:>8}  {name}"
        for name, count in sorted_counts[:_MAX_SHOWN_COUNTS]
    ]
