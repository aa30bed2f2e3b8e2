"""Load of targets as one daemon sees it, corrected for lag.

Reports of targets arrive late and may stop, so the view is not based on them.
It is based on the work that this daemon itself has on a target, which it knows
exactly, and on the work that its peers report. A target's report only adds the
tokens that neither explains, and this addition decays with the age of the
report. The work that peers started since their last digest is estimated from
this daemon's own recent starts: peers see the same empty target and act alike.

The memory that running generations will need is a profile: for a few horizons
of further tokens, the expectation and the variance of the tokens that they will
hold by then, given the tokens that each has reached. All sequences of an engine
advance one token per step, so that they share horizons in tokens.

See Also:
    `persimmonspan.request.admission`: builds profiles and decides on them.
"""

import math
import operator
import typing

import immutables

from persimmonspan.request import events

HORIZONS_TOKENS = (0, 64, 256, 1024, 3072, 8192)
_NO_PROFILE = (0.0,) * len(HORIZONS_TOKENS)
# The daemon's own recent starts stand for those of its peers until their next
# digest, and a bit longer.
_RECENT_DECAY_INTERVALS = 1.2
REPORT_DECAY_S = 5.0
_PEER_EXPIRY_S = 10.0
_INTERVAL_GAIN = 0.15
# Time from the start of an attempt to the arrival of its digest at a peer.
_DIGEST_DELAY_S = 0.08

# A start that a peer told by itself is in the digest of a hub that arrives at
# least this much later, and in one of those that arrive until the maximum age.
_NOTICE_TOLD_AGE_S = 0.1
_MAX_NOTICE_AGE_S = 0.8
# Time from a start at a peer to its notice, and time without any notice after
# which none are expected.
_NOTICE_DELAY_S = 0.01
_NOTICES_EXPIRY_S = 2.0

# Index of the horizon from which work counts as lasting: short work that peers
# may have started ends before their next digest.
_LASTING_HORIZON_INDEX = 2

Vector = tuple[float, ...]


class Profile(typing.NamedTuple):
    """Tokens held at each horizon: expectation and variance."""

    mean: Vector = _NO_PROFILE
    variance: Vector = _NO_PROFILE


class TargetView(typing.NamedTuple):
    """Recorded load of one target."""

    target: events.Target
    running: int = 0
    long_running: int = 0
    own: Profile = Profile()
    peers: Profile = Profile()
    peers_running: int = 0
    extra_tokens: float = 0.0  # Reported, but neither own nor peers'.
    reported_s: float = -math.inf  # When the report was measured.
    waiting: int = 0
    preemptions: int = 0
    recent_preemptions: float = 0.0  # Reported ones, decayed.
    recent_preemptions_s: float = 0.0
    recent_tokens: float = 0.0
    recent_tokens_s: float = 0.0
    recent_tokens_decay_s: float = _RECENT_DECAY_INTERVALS
    interval_s: float = 0.0  # Between tokens of a stream; 0 when unknown.
    decoding: int = 0
    prefill_tokens: float = 0.0  # Of own attempts without a first token.
    avoid_until_s: float = -math.inf
    failures: int = 0
    copies: int = 0  # Of requests that run elsewhere.
    copy_tokens: float = 0.0  # Expected peak of their tokens.
    peers_copy_tokens: float = 0.0
    peers_prefill_tokens: float = 0.0
    # Starts at peers that their digests do not tell yet: time and tokens.
    notices: tuple[tuple[float, int], ...] = ()


class Peer(typing.NamedTuple):
    """Load that a peer last reported."""

    last_received_s: float
    loads: immutables.Map[str, events.TargetLoad]
    demands: tuple[events.Demand, ...] = ()
    is_sum: bool = False


class View(typing.NamedTuple):
    """All targets and peers. Removed targets stay until nothing runs there."""

    targets: immutables.Map[str, TargetView] = immutables.Map()
    groups: immutables.Map[str, tuple[str, ...]] = immutables.Map()
    peers: immutables.Map[str, Peer] = immutables.Map()
    noticed_s: float = -math.inf  # When a peer last told a start by itself.


def add(one: Vector, other: Vector) -> Vector:
    """Returns the sum of two vectors."""
    a, b, c, d, e, f = one
    u, v, w, x, y, z = other
    return (a + u, b + v, c + w, d + x, e + y, f + z)


def subtract(one: Vector, other: Vector) -> Vector:
    """Returns the difference of two vectors."""
    a, b, c, d, e, f = one
    u, v, w, x, y, z = other
    return (a - u, b - v, c - w, d - x, e - y, f - z)


def _set_target(view: View, item: TargetView) -> View:
    return View(view.targets.set(item.target.name, item), view.groups,
                view.peers, view.noticed_s)


def add_attempt(view: View, name: str, profile: Profile, is_long: bool,
                now_s: float) -> View:
    """Adds an attempt that was sent to a target."""
    item = view.targets[name]
    own = Profile(add(item.own.mean, profile.mean),
                  add(item.own.variance, profile.variance))
    return _set_target(
        view,
        item._replace(running=item.running + 1,
                      long_running=item.long_running + is_long,
                      own=own,
                      prefill_tokens=item.prefill_tokens + profile.mean[0],
                      recent_tokens=recent_tokens(item, now_s) +
                      profile.mean[_LASTING_HORIZON_INDEX],
                      recent_tokens_s=now_s))


def remove_attempt(view: View, name: str, profile: Profile, is_long: bool,
                   was_decoding: bool) -> View:
    """Subtracts an attempt that ended."""
    item = view.targets.get(name)
    if item is None:
        return view
    if item.running == 1:
        # Clears the rounding errors of the sums.
        own = Profile()
    else:
        own = Profile(subtract(item.own.mean, profile.mean),
                      subtract(item.own.variance, profile.variance))
    item = item._replace(running=item.running - 1,
                         long_running=item.long_running - is_long,
                         own=own,
                         prefill_tokens=item.prefill_tokens -
                         (0.0 if was_decoding else profile.mean[0]),
                         decoding=item.decoding - was_decoding)
    if not item.running and not item.copies and not _is_listed(view, item):
        return view._replace(targets=view.targets.delete(name))
    return _set_target(view, item)


def add_copy(view: View, name: str, profile: Profile) -> View:
    """Adds a copy of a running request that a target keeps."""
    item = view.targets[name]
    return _set_target(
        view,
        item._replace(copies=item.copies + 1,
                      copy_tokens=item.copy_tokens + max(profile.mean)))


def remove_copy(view: View, name: str, profile: Profile) -> View:
    """Subtracts a copy that a target no longer keeps."""
    item = view.targets.get(name)
    if item is None:
        return view
    copies = item.copies - 1
    tokens = item.copy_tokens - max(profile.mean) if copies else 0.0
    item = item._replace(copies=copies, copy_tokens=tokens)
    if not item.running and not copies and not _is_listed(view, item):
        return view._replace(targets=view.targets.delete(name))
    return _set_target(view, item)


def _is_listed(view: View, item: TargetView) -> bool:
    return item.target.name in view.groups.get(item.target.service, ())


def replace_profile(view: View, name: str, old: Profile, new: Profile,
                    long_change: int) -> View:
    """Replaces the profile of an attempt, as its tokens grow."""
    item = view.targets[name]
    own = Profile(add(subtract(item.own.mean, old.mean), new.mean),
                  add(subtract(item.own.variance, old.variance), new.variance))
    return _set_target(
        view,
        item._replace(own=own, long_running=item.long_running + long_change))


def record_progress(view: View, name: str, tokens: int, seconds: float,
                    prefilled_tokens: float | None) -> View:
    """Updates the time between tokens from the progress of one stream.

    Args:
        view: The view.
        name: The target.
        tokens: Tokens since the last progress.
        seconds: Time since the last progress.
        prefilled_tokens: Prompt tokens of the stream at its first progress,
            else None.
    """
    item = view.targets[name]
    learned_s = item.interval_s
    if tokens > 0 and seconds > 0:
        sample_s = seconds / tokens
        learned_s = (sample_s if not learned_s else learned_s + _INTERVAL_GAIN *
                     (sample_s - learned_s))
    return _set_target(
        view,
        item._replace(interval_s=learned_s,
                      decoding=item.decoding + (prefilled_tokens is not None),
                      prefill_tokens=item.prefill_tokens -
                      (prefilled_tokens or 0.0),
                      failures=0))


def expected_peer_starts(view: View, service: str, now_s: float) -> float:
    """Estimates the starts at peers that this daemon has not yet received.

    A peer sends each start at once; a hub sends the sum of many at an interval.
    Requests that wait at peers are placed as soon as a target has room.
    """
    expected = 0.0
    is_noticed = now_s - view.noticed_s <= _NOTICES_EXPIRY_S
    for peer in view.peers.values():
        unseen_s = _NOTICE_DELAY_S if is_noticed else _DIGEST_DELAY_S
        if peer.is_sum and not is_noticed:
            unseen_s += min(_PEER_EXPIRY_S, now_s - peer.last_received_s)
        for demand in peer.demands:
            if demand.service == service:
                expected += unseen_s * demand.starts_per_s + demand.waiting
    return expected


def record_peer_start(view: View, event: events.PeerStarted,
                      now_s: float) -> View:
    """Records a start that a peer told by itself."""
    item = view.targets.get(event.target)
    view = view._replace(noticed_s=now_s)
    if item is None:
        return view
    kept = tuple(notice for notice in item.notices
                 if now_s - notice[0] <= _MAX_NOTICE_AGE_S)
    return _set_target(
        view,
        item._replace(notices=kept +
                      ((now_s - event.age_s, event.prefill_tokens),)))


def noticed_tokens(item: TargetView, now_s: float) -> int:
    """Returns the prompt tokens of starts that no digest tells yet."""
    return sum(tokens for at_s, tokens in item.notices
               if now_s - at_s <= _MAX_NOTICE_AGE_S)


def _drop_told_notices(view: View, now_s: float) -> View:
    """Drops the starts that a digest that has just arrived contains."""
    targets = view.targets
    for name, item in view.targets.items():
        if item.notices:
            kept = tuple(notice for notice in item.notices
                         if now_s - notice[0] < _NOTICE_TOLD_AGE_S)
            if len(kept) < len(item.notices):
                targets = targets.set(name, item._replace(notices=kept))
    return view._replace(targets=targets)


def recent_tokens(item: TargetView, now_s: float) -> float:
    """Returns the tokens of this daemon's recent starts, decayed by age."""
    if not item.recent_tokens:
        return 0.0
    return item.recent_tokens * math.exp(
        (item.recent_tokens_s - now_s) / item.recent_tokens_decay_s)


def extra_tokens(item: TargetView, now_s: float) -> float:
    """Returns reported tokens that no daemon explains, decayed by age."""
    if not item.extra_tokens:
        return 0.0
    return item.extra_tokens * math.exp(
        (item.reported_s - now_s) / REPORT_DECAY_S)


def recent_preemptions(item: TargetView, now_s: float) -> float:
    """Returns the number of recent preemptions, decayed by age."""
    if not item.recent_preemptions:
        return 0.0
    return item.recent_preemptions * math.exp(
        (item.recent_preemptions_s - now_s) / _PREEMPTION_DECAY_S)


_PREEMPTION_DECAY_S = 10.0


def apply_report(view: View, event: events.LoadReported, now_s: float) -> View:
    """Applies a load report of a target, unless a newer one was applied."""
    item = view.targets.get(event.target)
    if item is None or now_s - event.age_s < item.reported_s:
        return view
    explained = item.own.mean[0] + item.peers.mean[0]
    has_report = item.reported_s > -math.inf
    new = max(0, event.preemptions - item.preemptions) if has_report else 0
    return _set_target(
        view,
        item._replace(extra_tokens=max(0.0, event.kv_used_tokens - explained),
                      reported_s=now_s - event.age_s,
                      waiting=event.waiting,
                      preemptions=event.preemptions,
                      recent_preemptions=recent_preemptions(item, now_s) + new,
                      recent_preemptions_s=now_s))


def apply_peer_load(view: View, event: events.PeerLoad, now_s: float) -> View:
    """Replaces the load that a peer has on each target."""
    if event.is_sum:
        view = _drop_told_notices(view, now_s)
    old = view.peers.get(event.daemon)
    loads = immutables.Map({item.target: item for item in event.loads})
    targets = view.targets
    for name in set(loads) | set(old.loads if old else ()):
        item = targets.get(name)
        if item is None:
            continue
        before = old.loads.get(name) if old else None
        targets = targets.set(name,
                              _replace_peer_load(item, before, loads.get(name)))
    return view._replace(targets=targets,
                         peers=view.peers.set(
                             event.daemon,
                             Peer(now_s, loads, event.demands, event.is_sum)))


def _replace_peer_load(item: TargetView, old: events.TargetLoad | None,
                       new: events.TargetLoad | None) -> TargetView:
    mean, variance = item.peers
    running = item.peers_running
    copies, prefill = item.peers_copy_tokens, item.peers_prefill_tokens
    if old is not None:
        mean = subtract(mean, _profile_mean(old))
        variance = subtract(variance, _profile_variance(old))
        running -= old.outstanding
        copies -= old.copy_tokens
        prefill -= old.prefill_tokens
    if new is not None:
        mean = add(mean, _profile_mean(new))
        variance = add(variance, _profile_variance(new))
        running += new.outstanding
        copies += new.copy_tokens
        prefill += new.prefill_tokens
    return item._replace(peers=Profile(mean, variance),
                         peers_running=running,
                         peers_copy_tokens=copies,
                         peers_prefill_tokens=prefill)


def add_loads(one: events.TargetLoad,
              other: events.TargetLoad) -> events.TargetLoad:
    """Returns the load that two daemons together have on a target.

    >>> add_loads(events.TargetLoad("t", 1, 9, (3, 4), 3, 6, 2),
    ...           events.TargetLoad("t", 2, 8, (1, 1), 4, 1, 5))[1:]
    (3, 17, (4, 5), 5, 7, 7)
    """
    profile = tuple(map(operator.add, one.profile_tokens, other.profile_tokens))
    if len(one.profile_tokens) != len(other.profile_tokens):
        profile = ()
    return events.TargetLoad(
        one.target, one.outstanding + other.outstanding,
        one.predicted_tokens + other.predicted_tokens, profile,
        int(math.hypot(one.deviation_tokens, other.deviation_tokens)),
        one.copy_tokens + other.copy_tokens,
        one.prefill_tokens + other.prefill_tokens)


def subtract_loads(total: events.TargetLoad,
                   one: events.TargetLoad) -> events.TargetLoad:
    """Returns a sum of loads without one daemon's load.

    >>> subtract_loads(events.TargetLoad("t", 3, 17, (4, 5), 5, 7, 7),
    ...                events.TargetLoad("t", 2, 8, (1, 1), 4, 1, 5))[1:]
    (1, 9, (3, 4), 3, 6, 2)
    """
    profile = tuple(map(operator.sub, total.profile_tokens, one.profile_tokens))
    variance = total.deviation_tokens**2 - one.deviation_tokens**2
    return events.TargetLoad(total.target, total.outstanding - one.outstanding,
                             total.predicted_tokens - one.predicted_tokens,
                             profile, math.isqrt(max(0, variance)),
                             total.copy_tokens - one.copy_tokens,
                             total.prefill_tokens - one.prefill_tokens)


def _profile_mean(load: events.TargetLoad) -> Vector:
    if len(load.profile_tokens) == len(HORIZONS_TOKENS):
        return load.profile_tokens
    return (float(load.predicted_tokens),) * len(HORIZONS_TOKENS)


def _profile_variance(load: events.TargetLoad) -> Vector:
    return (float(load.deviation_tokens)**2,) * len(HORIZONS_TOKENS)


def forget_silent_peers(view: View, now_s: float) -> View:
    """Drops the load of peers whose last digest is too old."""
    for name, peer in view.peers.items():
        if now_s - peer.last_received_s > _PEER_EXPIRY_S:
            view = apply_peer_load(view, events.PeerLoad(name, ()), now_s)
            view = view._replace(peers=view.peers.delete(name))
    return view


def own_loads(view: View) -> tuple[events.TargetLoad, ...]:
    """Returns the loads that this daemon sends to its peers."""
    return tuple(
        events.TargetLoad(
            item.target.name, item.running, round(max(item.own.mean)),
            tuple(round(value) for value in item.own.mean),
            round(max(0.0, *item.own.variance)**0.5), round(item.copy_tokens),
            round(item.prefill_tokens)) for item in view.targets.values() if
        item.running or item.copies)


def set_targets(view: View,
                groups: typing.Mapping[str, tuple[events.Target, ...]],
                digest_interval_s: float = 1.0) -> View:
    """Replaces the targets to which new work may go.

    Targets that are no longer listed stay as long as an attempt runs there.
    """
    kept = {
        name: item
        for name, item in view.targets.items()
        if item.running or item.copies
    }
    targets = immutables.Map(kept)
    for members in groups.values():
        for target in members:
            item = view.targets.get(target.name)
            if item is None:
                item = TargetView(target)
                for peer in view.peers.values():
                    item = _replace_peer_load(item, None,
                                              peer.loads.get(target.name))
            item = item._replace(target=target,
                                 recent_tokens_decay_s=_RECENT_DECAY_INTERVALS *
                                 digest_interval_s)
            targets = targets.set(target.name, item)
    names = {
        service: tuple(target.name for target in members)
        for service, members in groups.items()
    }
    return View(targets, immutables.Map(names), view.peers, view.noticed_s)


def avoid(view: View, name: str, until_s: float) -> View:
    """Excludes a target from new work until a time, and counts a failure."""
    item = view.targets.get(name)
    if item is None:
        return view
    return _set_target(
        view,
        item._replace(avoid_until_s=max(until_s, item.avoid_until_s),
                      failures=item.failures + 1))
