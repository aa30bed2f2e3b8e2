"""Which targets a request prefers if those of its service have two speeds.

A long stream is in time only if no pause between its events is too long. A step
in which an engine also prefills a prompt takes about twice as long; on a slow
engine, a few such steps while a neighbour slows the machine down exceed the
limit. Long requests therefore prefer fast targets, then those not measured yet,
then slow ones. Short requests leave the fast targets to them: they prefer slow
ones, as long as the prompts that wait there leave their latency objective
reachable.

No request is rejected on these grounds: if its preferred targets have no room,
it gets one of the others. Without classes, all targets are in one group.

See Also:
    `persimmonspan.process.target_speeds`: measures and classifies targets.
    `persimmonspan.request.choice`: chooses within a group.
"""

import collections.abc
import math
import typing

from persimmonspan.process import load_view
from persimmonspan.process import target_speeds
from persimmonspan.request import admission
from persimmonspan.request import events

SpeedClass = target_speeds.SpeedClass
Ranked = collections.abc.Sequence[tuple[float, str]]

_LONG_ORDER = {SpeedClass.FAST: 0, SpeedClass.UNMEASURED: 1, SpeedClass.SLOW: 2}
# Prompt tokens that an engine prefills in the time of one generated token: a
# step that prefills a chunk of 112 tokens takes about two usual steps.
_PREFILL_TOKENS_PER_INTERVAL = 50.0
# Prompt tokens per second of a target without a measurement.
_DEFAULT_PREFILL_TOKENS_PER_S = 5000.0
# Share of the time to the first event that the prefill of the prompts before a
# short request and its own may take; neighbours slow a machine in the rest.
_PREFILL_TIME_SHARE = 0.5
# Time to the first event of a request without a latency objective.
_DEFAULT_FIRST_EVENT_S = 1.0

# Factor of the probability with which a long request moves to a fast target
# when its own leaves. All requests of a leaving target move at the same time,
# so that not all may choose the fast ones.
_FAST_MOVE_WEIGHT = 8.0


class Wanted(typing.NamedTuple):
    """Properties of a request that decide which targets it prefers."""

    is_long: bool
    prompt_tokens: float
    first_event_by_s: float  # Infinite without a latency objective.


def split_by_preference(ranked: Ranked, view: load_view.View, wanted: Wanted,
                        speeds: target_speeds.State,
                        now_s: float) -> list[Ranked]:
    """Returns the targets in groups, the preferred group first.

    Args:
        ranked: Use and name of each target, least used first.
        view: Load of the targets.
        wanted: What the request needs.
        speeds: Classes of the targets.
        now_s: Current time.
    """
    if not has_classes(speeds, (name for _, name in ranked)):
        return [ranked]
    groups: dict[int, list[tuple[float, str]]] = {}
    for use, name in ranked:
        if wanted.is_long:
            order = _LONG_ORDER[target_speeds.class_of(speeds, name)]
        else:
            order = int(
                not _suits_short(view.targets[name], wanted, speeds, now_s))
        groups.setdefault(order, []).append((use, name))
    return [groups[order] for order in sorted(groups)]


def backup_rank(wanted: Wanted, speeds: target_speeds.State,
                target: str) -> int:
    """Returns the rank of a target for a copy of a request, lowest first.

    Copies of long requests leave the memory of fast targets to those that run.
    """
    speed_class = target_speeds.class_of(speeds, target)
    return int(wanted.is_long and speed_class is SpeedClass.FAST)


def move_weight(wanted: Wanted, speeds: target_speeds.State,
                target: str) -> float:
    """Returns the factor of the probability that a request moves to a target.
    """
    if (wanted.is_long and
            target_speeds.class_of(speeds, target) is SpeedClass.FAST):
        return _FAST_MOVE_WEIGHT
    return 1.0


def count_dispatch(speeds: target_speeds.State, target: str,
                   is_long: bool) -> list[events.Count]:
    """Returns what to count for a dispatch; nothing without classes."""
    engine = speeds.engines.get(target)
    if engine is None or engine.service not in speeds.classified_services:
        return []
    size = "long" if is_long else "short"
    speed_class = target_speeds.class_of(speeds, target)
    return [events.Count(f"dispatched_{size}_{speed_class}")]


def has_classes(speeds: target_speeds.State,
                names: collections.abc.Iterable[str]) -> bool:
    """Returns whether some of the targets are known to be fast or slow."""
    return bool(speeds.classes) and any(
        name in speeds.classes for name in names)


def _suits_short(item: load_view.TargetView, wanted: Wanted,
                 speeds: target_speeds.State, now_s: float) -> bool:
    """Returns whether a target is slow and prefills a short prompt in time."""
    name = item.target.name
    if target_speeds.class_of(speeds, name) is not SpeedClass.SLOW:
        return False
    interval_s = target_speeds.interval_s(speeds, name, now_s)
    tokens_per_s = (_PREFILL_TOKENS_PER_INTERVAL /
                    interval_s if interval_s else _DEFAULT_PREFILL_TOKENS_PER_S)
    tokens = admission.unread_tokens(item, now_s) + wanted.prompt_tokens
    time_s = (_DEFAULT_FIRST_EVENT_S if math.isinf(wanted.first_event_by_s) else
              wanted.first_event_by_s - now_s)
    return tokens <= tokens_per_s * _PREFILL_TIME_SHARE * time_s
