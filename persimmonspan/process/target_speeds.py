"""Measures how fast the engines of a service generate, and classifies them.

Each daemon measures the time per token of the streams that it relays, and keeps
the shortest recent one of each target: prompts that the engine prefills and
neighbours on its machine lengthen some intervals, but not the shortest. Daemons
share these values in their digests, since one of many daemons has few streams
on a target. The hub sends the minimum over all daemons; it needs no subtraction
of the receiver's own part.

A service has classes only if its targets clearly have two speeds. The targets
are then fast or slow; those without a measurement have no class. Ratios differ
for entering and leaving a class, so that a target near the limit keeps its
class.

>>> state = step(State(), events.TargetsChanged(1, (events.Target(
...     "e1", "drafts", "", "a", 9000),), (), ()), 0.0)[0]
>>> for at_s, tokens in ((1.0, 4), (1.25, 54), (1.5, 104)):
...     state, _ = step(state, events.Progressed("r", "e1", tokens), at_s)
>>> own_speeds(state, 2.0)
(TargetSpeed(target='e1', interval_us=5000, incarnation=0),)

See Also:
    `persimmonspan.request.speed_preference`: which class a request prefers.
    `persimmonspan.process.health`: stragglers, by a daemon's own observations.
"""

import collections.abc
import enum
import functools
import math
import statistics
import typing

import immutables

from persimmonspan.request import events

# Intervals with fewer tokens are not measured: events hold several tokens, so
# the error of such an interval is a large part of it.
_MIN_INTERVAL_TOKENS = 8
# An interval after one that is longer by a larger factor may hold tokens that
# were delayed in that one. With this bound, such tokens shorten the time per
# token by less than a third; steps with prompts take about twice as long.
_MAX_INTERVAL_RATIO = 2.0
# A measurement rises by this share per second towards newer, longer samples, so
# that it follows a target that became slower.
_RISE_PER_S = 0.02
# Time between two samples that counts for the rise at most: without samples, a
# measurement keeps its value until it expires.
_MAX_RISE_TIME_S = 1.0
_EXPIRY_S = 20.0
# Digests carry only measurements with a sample of this age at most. Peers that
# receive none keep the last one until it expires.
_MAX_SHARED_AGE_S = 3.0
# A stream without progress for longer is forgotten.
_STREAM_EXPIRY_S = 10.0
_EVALUATION_INTERVAL_S = 0.1
# A target that is measured for a shorter time is not slow yet: its engine may
# have prefilled prompts all the time, which doubles the time per token. Targets
# that have just joined get many prompts at once, of up to 2 s.
_MIN_SLOW_TIME_S = 3.0
# Ratio of the medians of both groups from which a service has classes, and
# below which it has none any more.
_ENTER_RATIO = 1.5
_LEAVE_RATIO = 1.3
# Least ratio between the slowest fast and the fastest slow target. Targets of
# even speed under heavy load have times with any ratios between them.
_MIN_GAP_RATIO = 1.3
_MIN_GROUP_TARGETS = 2
# Time for which a service must have two speeds before its targets get classes;
# single engines of even speed look slow for up to 1 s when traffic starts. They
# keep the classes for some time when too few targets of a group are left.
_MIN_SPLIT_TIME_S = 2.0
_SPLIT_HOLD_S = 5.0
# Targets of which a digest carries the speed, at most.
MAX_OWN_SPEEDS = 64
MAX_SHARED_SPEEDS = 512
_MAX_INTERVAL_S = 10.0
_US_PER_S = 1e6


class SpeedClass(enum.StrEnum):
    """Speed of a target relative to the others of its service."""

    FAST = "fast"
    SLOW = "slow"
    UNMEASURED = "unmeasured"


class Measurement(typing.NamedTuple):
    """Shortest recent time per token of a target."""

    interval_s: float
    sampled_s: float
    since_s: float  # First sample.


class Split(typing.NamedTuple):
    """Two speeds of a service."""

    slow_s: float  # Time per token of the slow group.
    since_s: float
    seen_s: float

    def is_confirmed(self, now_s: float) -> bool:
        """Returns whether the two speeds are not a passing appearance."""
        return now_s - self.since_s >= _MIN_SPLIT_TIME_S


class _Stream(typing.NamedTuple):
    """Last progress of a stream, and the time per token before it."""

    target: str
    tokens: int
    progressed_s: float
    interval_s: float | None = None


class _Engine(typing.NamedTuple):
    service: str
    incarnation: int


_Measurements = immutables.Map[str, Measurement]


class State(typing.NamedTuple):
    """Measurements by target, and the classes that result from them.

    `classes` holds only targets that are fast or slow.
    """

    engines: immutables.Map[str, _Engine] = immutables.Map()
    streams: immutables.Map[str, _Stream] = immutables.Map()
    own: _Measurements = immutables.Map()
    peers: _Measurements = immutables.Map()
    splits: immutables.Map[str, Split] = immutables.Map()  # By service.
    classes: immutables.Map[str, SpeedClass] = immutables.Map()
    classified_services: frozenset[str] = frozenset()
    evaluated_s: float = -math.inf


Result = tuple[State, list[events.Command]]


def class_of(state: State, target: str) -> SpeedClass:
    """Returns the class of a target."""
    return state.classes.get(target, SpeedClass.UNMEASURED)


def interval_s(state: State, target: str, now_s: float) -> float | None:
    """Returns the time per token of a target, or None if it is not known."""
    measurement = _measurement(state, target, now_s)
    return measurement.interval_s if measurement is not None else None


def own_speeds(state: State, now_s: float) -> tuple[events.TargetSpeed, ...]:
    """Returns what this daemon measured lately, for its next digest."""
    recent = sorted((item.sampled_s, name)
                    for name, item in state.own.items()
                    if now_s - item.sampled_s <= _MAX_SHARED_AGE_S)
    return tuple(
        events.TargetSpeed(name, round(state.own[name].interval_s * _US_PER_S),
                           state.engines[name].incarnation)
        for _, name in sorted(recent[-MAX_OWN_SPEEDS:],
                              key=lambda item: item[1]))


def merge_speeds(
    groups: collections.abc.Iterable[collections.abc.Iterable[
        events.TargetSpeed]]
) -> tuple[events.TargetSpeed, ...]:
    """Returns the least time per token of each target's incarnation.

    >>> one, other = events.TargetSpeed("a", 9), events.TargetSpeed("a", 4)
    >>> merge_speeds([[one], [other]])
    (TargetSpeed(target='a', interval_us=4, incarnation=0),)
    """
    least: dict[tuple[str, int], events.TargetSpeed] = {}
    for group in groups:
        for speed in group:
            key = speed.target, speed.incarnation
            if key not in least or speed.interval_us < least[key].interval_us:
                least[key] = speed
    return tuple(least[key] for key in sorted(least)[:MAX_SHARED_SPEEDS])


def step(state: State, event: events.Event, now_s: float) -> Result:
    """Returns the next state, and a command for each change of a class."""
    return _evaluate(_step(event, state, now_s), now_s)


@functools.singledispatch
def _step(event: object, state: State, now_s: float) -> State:
    del event, now_s
    return state


@_step.register
def _(event: events.FirstToken, state: State, now_s: float) -> State:
    return _record_progress(state, event.request_id, event.target, 1, now_s)


@_step.register
def _(event: events.Progressed, state: State, now_s: float) -> State:
    return _record_progress(state, event.request_id, event.target, event.tokens,
                            now_s)


@_step.register
def _(event: events.RequestMoved, state: State, now_s: float) -> State:
    # The interval that contains a move says nothing about either target.
    del now_s
    return _forget_stream(state, event.request_id)


@_step.register
def _(event: events.AttemptEnded, state: State, now_s: float) -> State:
    del now_s
    return _forget_stream(state, event.request_id)


@_step.register
def _(event: events.PeerLoad, state: State, now_s: float) -> State:
    peers = state.peers
    for speed in event.speeds[:MAX_SHARED_SPEEDS]:
        engine = state.engines.get(speed.target)
        # Another incarnation: the peer does not know yet that it restarted.
        if (engine is None or speed.interval_us <= 0 or
            (engine.incarnation and speed.incarnation and
             engine.incarnation != speed.incarnation)):
            continue
        sample_s = speed.interval_us / _US_PER_S
        peers = peers.set(speed.target,
                          _add_sample(peers.get(speed.target), sample_s, now_s))
    return state._replace(peers=peers)


@_step.register
def _(event: events.TargetDied, state: State, now_s: float) -> State:
    del now_s
    return _forget_targets(state, [event.target])


@_step.register
def _(event: events.TargetsChanged, state: State, now_s: float) -> State:
    del now_s
    engines = {
        item.name: _Engine(item.service, item.incarnation)
        for item in event.targets
        if item.kv_capacity_tokens
    }
    changed = [
        name for name, engine in state.engines.items()
        if engines.get(name) != engine
    ]
    return _forget_targets(state,
                           changed)._replace(engines=immutables.Map(engines))


@_step.register
def _(event: events.Tick, state: State, now_s: float) -> State:
    del event
    silent = [
        request_id for request_id, stream in state.streams.items()
        if now_s - stream.progressed_s > _STREAM_EXPIRY_S
    ]
    for request_id in silent:
        state = _forget_stream(state, request_id)
    return state


def _forget_stream(state: State, request_id: str) -> State:
    if request_id not in state.streams:
        return state
    return state._replace(streams=state.streams.delete(request_id))


def _forget_targets(state: State,
                    names: collections.abc.Iterable[str]) -> State:
    own, peers = state.own, state.peers
    names = frozenset(names)
    if not names:
        return state
    for name in names:
        own = own.delete(name) if name in own else own
        peers = peers.delete(name) if name in peers else peers
    streams = immutables.Map({
        request_id: stream
        for request_id, stream in state.streams.items()
        if stream.target not in names
    })
    return state._replace(own=own,
                          peers=peers,
                          streams=streams,
                          evaluated_s=-math.inf)


def _record_progress(state: State, request_id: str, target: str, tokens: int,
                     now_s: float) -> State:
    """Records the progress of a stream, and measures its target.

    What a daemon or a link delayed arrives at once afterwards, and would look
    fast. An interval after a much longer one is therefore not measured.
    """
    if target not in state.engines:
        return state
    before = state.streams.get(request_id)
    stream = _Stream(target, tokens, now_s)
    if (before is not None and before.target == target and
            tokens - before.tokens >= _MIN_INTERVAL_TOKENS):
        time_s = (now_s - before.progressed_s) / (tokens - before.tokens)
        stream = stream._replace(interval_s=time_s)
        if before.interval_s is not None:
            sample_s = (time_s if before.interval_s <= _MAX_INTERVAL_RATIO *
                        time_s else before.interval_s)
            state = state._replace(own=state.own.set(
                target, _add_sample(state.own.get(target), sample_s, now_s)))
    return state._replace(streams=state.streams.set(request_id, stream))


def _add_sample(measurement: Measurement | None, sample_s: float,
                now_s: float) -> Measurement:
    sample_s = min(sample_s, _MAX_INTERVAL_S)
    if measurement is None or _is_expired(measurement, now_s):
        return Measurement(sample_s, now_s, now_s)
    elapsed_s = min(_MAX_RISE_TIME_S, now_s - measurement.sampled_s)
    risen_s = measurement.interval_s * (1 + _RISE_PER_S * elapsed_s)
    return Measurement(min(sample_s, risen_s), now_s, measurement.since_s)


def _is_expired(measurement: Measurement, now_s: float) -> bool:
    return now_s - measurement.sampled_s > _EXPIRY_S


def _measurement(state: State, target: str, now_s: float) -> Measurement | None:
    """Returns the shorter of the own and the peers' time, since the first."""
    items = [
        item for item in (state.own.get(target), state.peers.get(target))
        if item is not None and not _is_expired(item, now_s)
    ]
    if not items:
        return None
    return min(items)._replace(since_s=min(item.since_s for item in items))


def _evaluate(state: State, now_s: float) -> Result:
    if (not state.own and not state.peers and not state.classes or
            now_s - state.evaluated_s < _EVALUATION_INTERVAL_S):
        return state, []
    services: dict[str, dict[str, Measurement]] = {}
    for name, engine in state.engines.items():
        measurement = _measurement(state, name, now_s)
        if measurement is not None:
            services.setdefault(engine.service, {})[name] = measurement
    splits = {}
    classes: dict[str, SpeedClass] = {}
    for service, members in services.items():
        split = _find_split(state.splits.get(service), members, now_s)
        if split is not None:
            splits[service] = split
            classes.update(_classify(split, members, state.classes, now_s))
    commands: list[events.Command] = []
    for name in sorted(set(classes) | set(state.classes)):
        speed_class = classes.get(name, SpeedClass.UNMEASURED)
        if name in state.engines and speed_class is not class_of(state, name):
            measurement = _measurement(state, name, now_s)
            value_s = measurement.interval_s if measurement else 0.0
            commands.append(
                events.TargetClassified(name, speed_class,
                                        round(value_s * _US_PER_S)))
    if classes != dict(state.classes):
        state = state._replace(
            classes=immutables.Map(classes),
            classified_services=frozenset(
                state.engines[name].service for name in classes))
    return state._replace(splits=immutables.Map(splits),
                          evaluated_s=now_s), commands


def _find_split(before: Split | None, members: dict[str, Measurement],
                now_s: float) -> Split | None:
    """Returns what separates the two speeds of a service, if it has them.

    The groups are separated at the largest ratio between neighbours.
    """
    has_classes = before is not None and before.is_confirmed(before.seen_s)
    slow_s = _slow_interval_s(
        sorted(item.interval_s
               for item in members.values()
               if now_s - item.since_s >= _MIN_SLOW_TIME_S),
        _LEAVE_RATIO if has_classes else _ENTER_RATIO)
    if slow_s is not None:
        since_s = before.since_s if before is not None else now_s
        return Split(slow_s, since_s, now_s)
    if has_classes and now_s - before.seen_s <= _SPLIT_HOLD_S:
        return before
    return None


def _slow_interval_s(sorted_s: list[float], min_ratio: float) -> float | None:
    """Returns the median of the slow group, or None if there is one group."""
    counts = range(_MIN_GROUP_TARGETS, len(sorted_s) - _MIN_GROUP_TARGETS + 1)
    if not counts:
        return None
    count = max(counts, key=lambda count: sorted_s[count] / sorted_s[count - 1])
    slow_s = statistics.median(sorted_s[count:])
    has_two_speeds = (sorted_s[count] >= _MIN_GAP_RATIO * sorted_s[count - 1]
                      and
                      slow_s >= min_ratio * statistics.median(sorted_s[:count]))
    return slow_s if has_two_speeds else None


def _classify(split: Split, members: dict[str, Measurement],
              before: immutables.Map[str, SpeedClass],
              now_s: float) -> dict[str, SpeedClass]:
    """Returns the classes of a service's measured targets."""
    if not split.is_confirmed(now_s):
        return {}
    classes = {}
    for name, item in members.items():
        ratio = (_LEAVE_RATIO
                 if before.get(name) is SpeedClass.FAST else _ENTER_RATIO)
        if item.interval_s * ratio <= split.slow_s:
            classes[name] = SpeedClass.FAST
        elif now_s - item.since_s >= _MIN_SLOW_TIME_S:
            classes[name] = SpeedClass.SLOW
    return classes
