"""Table and plot of the policy benchmark."""

import collections
import pathlib
import typing

import matplotlib

matplotlib.use("Agg")
# The Agg renderer has to be chosen before this import.
# pylint: disable-next=wrong-import-position
from matplotlib import pyplot

Row = dict[str, typing.Any]
_COLUMNS = ("preempt", "stall s", "gap p50", "gap p95", "gap p99", "first p50",
            "first p95", "first p99", "short wait p99", "long end s",
            "long done", "worth", "of offline", "jain", "wasted", "kv use")


def _key(row: Row) -> tuple[typing.Any, ...]:
    case = row["case"]
    return (case["deployment"], case["faults"], case["daemons"], case["load"])


def merged(rows: list[Row]) -> dict[typing.Any, dict[str, Row]]:
    """Returns the mean over the seeds by case and policy.

    The offline order is the better of its variants for each seed.
    """
    groups: dict[typing.Any, dict[str, list[Row]]] = collections.defaultdict(
        lambda: collections.defaultdict(list))
    for row in rows:
        groups[_key(row)][row["case"]["policy"]].append(row["measures"])
    result: dict[typing.Any, dict[str, Row]] = {}
    for key, policies in groups.items():
        offline = [v for k, v in policies.items() if k.startswith("offline")]
        plain = {
            k: v for k, v in policies.items() if not k.startswith("offline")
        }
        if offline:
            plain["offline"] = [
                max(items, key=lambda item: item["worth_model"][0])
                for items in zip(*offline)
            ]
        result[key] = {k: _mean(v) for k, v in plain.items()}
    return result


def _mean(values: list[typing.Any]) -> typing.Any:
    first = values[0]
    if isinstance(first, dict):
        return {k: _mean([item.get(k, 0) for item in values]) for k in first}
    if isinstance(first, list):
        return [_mean(list(items)) for items in zip(*values)]
    return sum(values) / len(values)


def table(rows: list[Row], daemons: int) -> str:
    """Returns the tables in Markdown."""
    lines = ["# Results of `python -m bench.policy`", ""]
    groups = merged(rows)
    lines += [
        "Mean over the seeds. Gaps between tokens in ms, other times in s; "
        "`short wait` is the time to the first token of short kinds, a request "
        "that got none counts with all the time it had; `worth` is the part of "
        "the worth offered to model kinds that was served within its deadline; "
        "`wasted` is in thousands of tokens.", ""
    ]
    for key in sorted(groups,
                      key=lambda item:
                      (item[0], item[1], item[2] != daemons, item[2], item[3])):
        lines += [
            f"## {key[0]}, faults: {key[1]}, {key[2]} daemons, load {key[3]}",
            "", "| policy | " + " | ".join(_COLUMNS) + " |",
            "|---" * (len(_COLUMNS) + 1) + "|"
        ]
        offline = groups[key].get("offline")
        for name, item in groups[key].items():
            lines.append(f"| {name} | " + " | ".join(_cells(item, offline)) +
                         " |")
        lines += [""] + _kinds(groups[key]) + [""]
    return "\n".join(lines)


def _cells(item: Row, offline: Row | None) -> list[str]:
    served, offered = item["worth_model"]
    part = served / offline["worth_model"][0] if offline else 0
    return [f"{item['preemptions']:.1f}", f"{item['stall_s']:.1f}"] + [
        f"{value:.1f}" for value in item["gap_ms"]
    ] + [f"{value:.2f}" for value in item["first_token_s"]] + [
        f"{item['short_wait_s'][2]:.2f}", f"{item['long_completion_s']:.1f}",
        f"{item['long_completed']:.0f}", f"{served / max(1, offered):.3f}",
        f"{part:.3f}" if offline else "", f"{item['jain']:.3f}",
        f"{item['wasted_tokens'] / 1000:.0f}", f"{item['kv_use']:.2f}"
    ]


def _kinds(policies: dict[str, Row]) -> list[str]:
    names = list(next(iter(policies.values()))["worth_by_kind"])
    lines = [
        "| worth served by kind | " + " | ".join(names) + " |",
        "|---" * (len(names) + 1) + "|"
    ]
    for policy, item in policies.items():
        parts = item["worth_by_kind"]
        lines.append(f"| {policy} | " + " | ".join(
            f"{parts[k][0] / max(1, parts[k][1]):.3f}" for k in names) + " |")
    return lines


def plot(rows: list[Row], daemons: int, path: pathlib.Path) -> None:
    """Draws worth, waits, stalls and preemptions over the load."""
    groups = merged(rows)
    series: tuple[tuple[str, typing.Callable[[Row], float]], ...] = (
        ("worth served in time",
         lambda item: item["worth_model"][0] / max(1, item["worth_model"][1])),
        ("short wait p99, s", lambda item: item["short_wait_s"][2]),
        ("stall, s", lambda item: item["stall_s"]),
        ("preemptions", lambda item: item["preemptions"]))
    places = sorted({key[0] for key in groups})
    figure, axes = pyplot.subplots(len(places),
                                   len(series),
                                   figsize=(16, 7),
                                   squeeze=False)
    for i, place in enumerate(places):
        keys = sorted(
            (key for key in groups
             if key[0] == place and key[1] == "none" and key[2] == daemons),
            key=lambda key: key[3])
        for j, (title, value) in enumerate(series):
            for name in groups[keys[0]]:
                axes[i][j].plot([key[3] for key in keys],
                                [value(groups[key][name]) for key in keys],
                                marker="o",
                                label=name)
            axes[i][j].set_title(f"{place}: {title}")
            axes[i][j].set_xlabel("load")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
