"""The capacity page, from measured slopes and the roles worked out of them."""

import pathlib
import typing

from bench import capacity_fit
from bench import capacity_roles
from persimmonspan.process import registration

_PAGE = """# Capacity of one daemon and of the whole system

Written by `python -m bench.capacity`; do not edit. All figures of this page are
measured by that command on the machine that it ran on, unless they are marked
as assumed or quoted. Processor time is that of the process, memory is what
`tracemalloc` sees unless it says resident. Lines are least-squares fits.

## Budgets

Control (gossip, store polling, reports and leases together): {core:.1%} of a
core, {memory:.0f} MB and {bytes:,.0f} bytes/s in a daemon. Store: {writes:.0f}
writes/s and {reads:,.0f} reads/s for all daemons.

## Roles at the two-year size

One of {daemons} daemons before {replicas} replicas, {workspaces} workspaces and
{models} models; {requests:.1f} requests/s, {tokens:,} tokens/s over {streams}
streams. An empty cell is not measured. Rows marked * are control.

| role | module | state | messages/s | core | MB | bytes/s | reads/s | writes/s |
|---|---|---|---|---|---|---|---|---|
{roles}

All daemons together:

| role | messages/s | bytes/s | reads/s | writes/s |
|---|---|---|---|---|
{all_roles}

Notes:

{notes}

## Against the budgets

| what | sum | budget | |
|---|---|---|---|
{budgets}

Over its budget or its goal:

{over}

Not built, or on paper only:

{paper}

## Assumed

{assumed}

## Measured slopes

### Scheduler: median processor time of a step, in us

| event | grows with | measured (size: us) | us per unit |
|---|---|---|---|
{steps}

### Scheduler: memory

| unit | measured (size: bytes) | bytes per unit |
|---|---|---|
{memory_lines}

### Retry budgets, health, quarantine

From `bench.decision_cost`, which this command runs; times by targets of the
subset with 16 streams each.

| decision | measured (targets: us) | us per target |
|---|---|---|
{parts}

| state | bytes per unit |
|---|---|
{part_memory}

### Control

| what | measured (size: value) | per unit |
|---|---|---|
{control}

### Whole-process figures of other pages

{quoted}
"""

_QUOTED = {
    "relay": "relay (request path), `bench.relay`",
    "gossip": "gossip as processes, `bench.gossip`",
    "software-versions": "rows of streams (worked out)"
}
_PAPER = (
    "control orders and leases: `process/orders.py` and `process/leases.py` "
    "are tested decision modules, but no daemon runs them: not built",
    "lifetime of versions: `version/lifetime.py` is not used by a daemon: not "
    "built",
    "owners of ledger shards (`docs/design/ledger.md`): not built",
    "removal of old ledger rows: not built",
)


def write(measured: dict[str, typing.Any], designs: pathlib.Path) -> str:
    """Returns the page; figures of `designs` are quoted if they exist."""
    found = capacity_roles.roles(measured)
    idle = measured["idle_daemon_mb"]
    budgets = _budgets(found, idle.at(capacity_roles.REPLICAS))
    over = [
        f"- OVER: {name} is {value}, the budget is {limit}"
        for name, value, limit, verdict in budgets
        if verdict == "OVER"
    ]
    control = {
        section: measured[section]
        for section in ("load_reports", "gossip", "registry", "configuration",
                        "ledger", "administration")
    }
    return _PAGE.format(
        core=capacity_roles.CORE_BUDGET,
        memory=capacity_roles.MEMORY_BUDGET_MB,
        bytes=capacity_roles.BYTES_BUDGET_PER_S,
        writes=capacity_roles.WRITES_BUDGET_PER_S,
        reads=capacity_roles.READS_BUDGET_PER_S,
        daemons=capacity_roles.DAEMONS,
        replicas=capacity_roles.REPLICAS,
        workspaces=capacity_roles.WORKSPACES,
        models=capacity_roles.MODELS,
        requests=capacity_roles.REQUESTS_PER_S,
        tokens=capacity_roles.TOKENS_PER_S,
        streams=capacity_roles.STREAMS,
        roles="\n".join(map(_role, found)),
        all_roles="\n".join(map(_all, found)),
        notes="\n".join(
            f"- {role.name}: {role.note}" for role in found if role.note),
        budgets="\n".join(_cells(row) for row in budgets),
        over="\n".join(over) or "- nothing",
        paper="\n".join(f"- {item}" for item in _PAPER),
        assumed="\n".join(f"- {item}" for item in capacity_roles.ASSUMED),
        steps="\n".join(
            _cells((event, name, _points(line), f"{line.slope:.4f}"))
            for name, rows in measured["scheduler"]["step_us"].items()
            for event, line in rows.items()),
        memory_lines=_lines(measured["scheduler"]["memory_bytes"]),
        parts="\n".join(map(_part, _part_times(measured))),
        part_memory="\n".join(
            _cells((name, f"{value:.0f}")) for name, value in
            measured["scheduler"]["parts"]["memory_bytes"].items()),
        control="\n".join(
            _control(f"{section}: ", rows) for section, rows in control.items())
        + "\n" +
        _lines({"resident memory of an idle daemon by replicas, MB": idle}),
        quoted="\n\n".join(f"{title}: {_quoted(designs / f'{name}.md')}"
                           for name, title in _QUOTED.items()))


def _cells(values: typing.Iterable[object]) -> str:
    return "| " + " | ".join(map(str, values)) + " |"


def _number(value: float | None, form: str) -> str:
    return "" if value is None else format(value, form)


def _role(role: capacity_roles.Role) -> str:
    name = role.name + (" *" if role.is_control else "")
    return _cells(
        (name, role.mechanism, role.state, _number(role.messages_per_s, ",.2f"),
         _number(role.core_share,
                 ".3%"), _number(role.memory_mb,
                                 ".2f"), _number(role.bytes_per_s, ",.0f"),
         f"{role.reads_per_s:.2f}", f"{role.writes_per_s:.4f}"))


def _all(role: capacity_roles.Role) -> str:
    count = capacity_roles.DAEMONS

    def total(value: float | None) -> str:
        return "" if value is None else f"{value * count:,.1f}"

    return _cells(
        (role.name, total(role.messages_per_s), total(role.bytes_per_s),
         total(role.reads_per_s), total(role.writes_per_s)))


def _budgets(found: list[capacity_roles.Role],
             idle_mb: float) -> list[tuple[str, str, str, str]]:
    control = [role for role in found if role.is_control]
    count = capacity_roles.DAEMONS

    def total(rows: list[capacity_roles.Role], name: str) -> float:
        return sum(getattr(role, name) or 0.0 for role in rows)

    rows = [
        ("processor time of control, share of a core",
         total(control, "core_share"), capacity_roles.CORE_BUDGET, ".3%"),
        ("memory of control, MB", total(control, "memory_mb"),
         capacity_roles.MEMORY_BUDGET_MB, ",.2f"),
        ("memory of an idle daemon and of the states above, MB",
         idle_mb + total(found, "memory_mb"), capacity_roles.MEMORY_BUDGET_MB,
         ",.2f"),
        ("bytes/s of control", total(control, "bytes_per_s"),
         capacity_roles.BYTES_BUDGET_PER_S, ",.0f"),
        ("store writes/s, all daemons", count * total(found, "writes_per_s"),
         capacity_roles.WRITES_BUDGET_PER_S, ",.1f"),
        ("store reads/s, all daemons", count * total(found, "reads_per_s"),
         capacity_roles.READS_BUDGET_PER_S, ",.1f"),
        ("store rows read/s, if the store counts rows and not requests",
         count * (1 + capacity_roles.DAEMONS /
                  registration.interval_s(capacity_roles.DAEMONS)),
         capacity_roles.READS_BUDGET_PER_S, ",.1f"),
    ]
    return [(name, format(value, form), format(limit, form),
             "OVER" if value > limit else "within")
            for name, value, limit, form in rows]


def _points(line: capacity_fit.Line) -> str:
    return ", ".join(f"{size:,.0f}: {value:,.4g}" if value <
                     1000 else f"{size:,.0f}: {value:,.0f}"
                     for size, value in line.points)


def _lines(rows: dict[str, capacity_fit.Line]) -> str:
    return "\n".join(
        _cells((name, _points(line), f"{line.slope:,.4g}"))
        for name, line in rows.items())


def _control(prefix: str, rows: dict[str, typing.Any]) -> str:
    return "\n".join(
        _cells((prefix + name.replace("_", " "), _points(row),
                f"{row.slope:,.4g}"
               )) if isinstance(row, capacity_fit.Line) else _cells((
                   prefix + name.replace("_", " "), f"{row}", ""))
        for name, row in rows.items())


def _part_times(
    measured: dict[str, typing.Any]
) -> typing.Iterable[tuple[str, dict[str, float]]]:
    return measured["scheduler"]["parts"]["time_us"].items()


def _part(item: tuple[str, dict[str, float]]) -> str:
    name, row = item
    points = ", ".join(f"{size}: {value:.2f}" for size, value in row.items()
                       if not size.startswith("slope"))
    slope = row.get("slope_per_target")
    return _cells((name, points, "" if slope is None else f"{slope:.4f}"))


def _quoted(page: pathlib.Path) -> str:
    """Returns the tables of a page, or that nothing is recorded."""
    if not page.exists():
        return f"not measured yet (`docs/design/{page.name}` does not exist)."
    rows = [
        row for row in page.read_text(encoding="utf-8").splitlines()
        if row.startswith("|")
    ]
    return f"quoted from `docs/design/{page.name}`:\n\n" + "\n".join(rows)
