"""Choice of a target.

Targets are ranked by their predicted use, divided by a weight for health, which
is low for stragglers, and for recent refusals. Many daemons that see the same
load would all choose the least used target that admits the request. Each
therefore draws a target at random. The probabilities are such that the requests
that all daemons start before they receive each other's load would level the
load (the load is interpreted by its age).

If there are many targets, a daemon sends only to a subset, which it selects by
rendezvous hashing and spreads over failure domains, so that load reports and
state stay bounded.

References:
    Dahlin, "Interpreting Stale Load Information", IEEE Transactions on Parallel
    and Distributed Systems 11, 2000.
    Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates",
    IEEE/ACM Transactions on Networking 6, 1998 (rendezvous hashing).
"""

import collections
import collections.abc
import hashlib
import math
import random
import typing

from persimmonspan.process import health
from persimmonspan.process import load_view
from persimmonspan.process import target_speeds
from persimmonspan.request import admission
from persimmonspan.request import cold_targets
from persimmonspan.request import events
from persimmonspan.request import rate_limits
from persimmonspan.request import retry
from persimmonspan.request import speed_preference
from persimmonspan.request import target_backoff

MAX_SUBSET_TARGETS = 24
# Targets of each software version that a daemon sends to at least, if as many
# are registered.
_MIN_VERSION_TARGETS = 4
# Targets with less weight get no long requests, which would be slow for a long
# time.
_MIN_HEALTHY_WEIGHT = 0.5
# Random share added to the use by which backup targets are ranked, so that
# daemons do not all choose the same target.
_BACKUP_RANK_JITTER = 0.04
DEFAULT_TOKEN_INTERVAL_S = 0.02
# Factor of the demand at engines: prompts are prefilled and generations end a
# long time after they were reported, so daemons that follow each digest would
# fill one engine after the other. Source: `docs/design/emulator.md`.
_ENGINE_DEMAND_FACTOR = 6.0
# Factor of the probability of a dispatch when few targets have room: a waiting
# request draws again at each tick, several times between two digests.
_DISPATCH_PROBABILITY_FACTOR = 0.5
# Moves within a failure domain take half as long as moves between two.
_SAME_DOMAIN_WEIGHT = 2.0
# Time that a response takes at least. A request that waits for a target to open
# needs it before its deadline.
_MIN_RESPONSE_S = 0.1


def select_subset(daemon: str,
                  targets: typing.Sequence[events.Target],
                  size: int = MAX_SUBSET_TARGETS) -> tuple[events.Target, ...]:
    """Returns the targets of a service that a daemon sends to.

    Selects from each failure domain in turn the target that ranks highest for
    this daemon. A change of one target changes at most one member per domain.
    Targets of versions that would be missing are added.
    """
    if len(targets) <= size:
        return tuple(targets)
    domains: dict[str, list[tuple[bytes, events.Target]]] = {}
    for target in targets:
        domains.setdefault(target.failure_domain, []).append(
            (_rendezvous_hash(daemon, target.name), target))
    for members in domains.values():
        members.sort(key=lambda item: item[0])
    order = sorted(domains, key=lambda name: _rendezvous_hash(daemon, name))
    chosen: list[events.Target] = []
    while len(chosen) < size:
        for name in order:
            if domains[name] and len(chosen) < size:
                chosen.append(domains[name].pop()[1])
    rest = [item for name in order for _, item in reversed(domains[name])]
    return tuple(chosen + _missing_versions(chosen, rest))


def _missing_versions(
        chosen: typing.Sequence[events.Target],
        rest: typing.Iterable[events.Target]) -> list[events.Target]:
    """Returns targets so that some of each software version are known.

    The load: streams that go on at the version that began them, while a few
    targets of it are left of a service with more than a daemon sends to.
    """
    counts = collections.Counter(item.software_version for item in chosen)
    added = []
    for item in rest:
        if counts[item.software_version] < _MIN_VERSION_TARGETS:
            counts[item.software_version] += 1
            added.append(item)
    return added


def _rendezvous_hash(daemon: str, name: str) -> bytes:
    return hashlib.blake2b(f"{daemon}/{name}".encode(), digest_size=8).digest()


def median_token_interval_s(view: load_view.View, service: str) -> float:
    """Returns the median time between tokens at the targets of a service."""
    intervals_s = sorted(view.targets[name].interval_s
                         for name in view.groups.get(service, ())
                         if view.targets[name].interval_s)
    return intervals_s[len(intervals_s) //
                       2] if intervals_s else DEFAULT_TOKEN_INTERVAL_S


class TargetQuery(typing.NamedTuple):
    """A request to place; `allowed`, if not empty, limits its targets."""

    service: str
    profile: load_view.Profile
    is_long: bool
    is_idempotent: bool
    excluded: tuple[str, ...] = ()
    allowed: tuple[str, ...] = ()
    software_version: str = ""  # Empty if any may run it.
    first_event_by_s: float = math.inf

    def accepts(self, target: events.Target) -> bool:
        """Returns whether a target has the software version, if one matters.

        >>> query = TargetQuery("s", load_view.Profile(), False, True)
        >>> target = events.Target("a", "s", "", "", software_version="v2")
        >>> query.accepts(target)
        True
        >>> query._replace(software_version="v1").accepts(target)
        False
        """
        return self.software_version in ("", target.software_version)


class TargetConstraints(typing.NamedTuple):
    """What limits the requests that targets get, apart from their load."""

    leaving: frozenset[str] = frozenset()
    health_state: health.State = health.State()
    budget: retry.State = retry.State()
    rates: rate_limits.State = rate_limits.State()
    backoff: target_backoff.State = target_backoff.State()
    cold: cold_targets.State = cold_targets.State()
    speeds: target_speeds.State = target_speeds.State()


def choose_target(view: load_view.View, query: TargetQuery,
                  rules: TargetConstraints, now_s: float,
                  rng: random.Random) -> str | None:
    """Returns the target for a request, or None if none admits it.

    Targets are drawn in an order that depends on a cheap estimate of their use,
    and checked for admission in this order until one admits the request.
    """
    names = view.groups.get(query.service, ())
    if query.allowed:
        names = tuple(name for name in query.allowed if name in names)
    ranked, probe = _rank_by_use(view, names, query, rules, now_s)
    if probe is not None or not ranked:
        return probe
    wanted = _wanted(query)
    for group in speed_preference.split_by_preference(ranked, view, wanted,
                                                      rules.speeds, now_s):
        name = _draw_target(view, query, group, now_s, rng)
        if name is not None:
            return name
    return None


def _wanted(query: TargetQuery) -> speed_preference.Wanted:
    return speed_preference.Wanted(query.is_long, query.profile.mean[0],
                                   query.first_event_by_s)


def _draw_target(view: load_view.View, query: TargetQuery,
                 ranked: typing.Sequence[tuple[float, str]], now_s: float,
                 rng: random.Random) -> str | None:
    """Returns one of the ranked targets that admits a request, or None."""
    peers = len(view.peers)
    expected_starts = load_view.expected_peer_starts(view, query.service, now_s)
    least_used = view.targets[ranked[0][1]]
    demand = (1 + expected_starts) * admission.estimate_added_use(
        least_used, query.profile, query.is_long)
    if least_used.target.kv_capacity_tokens:
        demand *= _ENGINE_DEMAND_FACTOR
    for position, name in enumerate(spread(ranked, demand, rng)):
        item = view.targets[name]
        if not admission.fits(item, query.profile, query.is_long, peers, now_s):
            continue
        if position and expected_starts and item.target.kv_capacity_tokens:
            # Few targets have room, and all daemons see the same ones.
            places = admission.places(item, query.profile, peers, now_s)
            if rng.random() > _DISPATCH_PROBABILITY_FACTOR * places / (
                    1 + expected_starts):
                return None
        return name
    return None


def _rank_by_use(view: load_view.View, names: typing.Iterable[str],
                 query: TargetQuery, rules: TargetConstraints,
                 now_s: float) -> tuple[list[tuple[float, str]], str | None]:
    """Returns targets ordered by weighted use, and one to probe, if due."""
    ranked: list[tuple[float, str]] = []
    peers = len(view.peers)
    may_probe = query.is_idempotent and not query.is_long
    for name in names:
        if name in rules.leaving or name in query.excluded:
            continue
        item = view.targets[name]
        if not query.accepts(item.target):
            continue
        if now_s < item.avoid_until_s or not rate_limits.may_send(
                rules.rates, name, now_s):
            continue
        if not (target_backoff.may_send(rules.backoff, name, now_s) and
                cold_targets.may_send(rules.cold, name, now_s)):
            continue
        target_health = rules.health_state.targets.get(name)
        weight = target_health.weight if target_health else 1.0
        if weight < _MIN_HEALTHY_WEIGHT:
            if may_probe and health.is_probe_due(rules.health_state, name,
                                                 now_s):
                return ranked, name
            if query.is_long or weight == 0.0:
                continue
        if rules.budget.send_weights:
            weight *= retry.send_weight(rules.budget, name, now_s)
        use = admission.estimate_use(item, query.is_long, peers, now_s)
        ranked.append((use / weight, name))
    ranked.sort()
    return ranked, None


def spread(ranked: typing.Sequence[tuple[float, str]], demand: float,
           rng: random.Random) -> list[str]:
    """Returns targets in the order in which to try them.

    The demand of all daemons that see this load fills the least used targets
    up to a common level. The probability that one of these targets comes first
    is proportional to its distance below the level, so that together the
    daemons level the load. The other targets follow, ordered by use.

    Args:
        ranked: Use and name of each target, least used first.
        demand: Use that all daemons add before the next reports of peers.
        rng: Source of randomness.
    """
    level, total = 0.0, 0.0
    for count, (use, _) in enumerate(ranked):
        if count and use >= level:
            break
        total += use
        level = (total + demand) / (count + 1)
    drawn = [(-(rng.random()**(1.0 / (level - use))), name)
             for use, name in ranked
             if use < level]
    drawn.sort()
    return [name for _, name in drawn
           ] + [name for use, name in ranked if use >= level]


def backup(view: load_view.View, query: TargetQuery, rules: TargetConstraints,
           target: str, now_s: float, rng: random.Random) -> str | None:
    """Returns the backup target for a copy of a request, or None without room.

    Copies use only memory that is left over: `admission.fits_copy` ensures that
    the backup target can admit as much again.
    """
    peers = len(view.peers)
    wanted = _wanted(query)
    best: tuple[int, float, str] | None = None
    for name in view.groups.get(query.service, ()):
        if (name in rules.leaving or name == target or name in query.excluded or
                rate_limits.is_limited(rules.rates, name) or
                _may_not_continue(rules, name, now_s)):
            continue
        item = view.targets[name]
        if not query.accepts(item.target):
            continue
        if now_s < item.avoid_until_s or not admission.fits_copy(
                item, query.profile, peers, now_s):
            continue
        use = admission.estimate_use(
            item, True, peers, now_s) + _BACKUP_RANK_JITTER * rng.random()
        rank = speed_preference.backup_rank(wanted, rules.speeds, name)
        if best is None or (rank, use) < best[:2]:
            best = (rank, use, name)
    return best[2] if best is not None else None


def _may_not_continue(rules: TargetConstraints, name: str,
                      now_s: float) -> bool:
    """Returns whether a target is closed or cold, so that no copy helps there.
    """
    return (target_backoff.is_closed(rules.backoff, name, now_s) or
            cold_targets.is_cold(rules.cold, name, now_s))


def choose_evacuation_target(view: load_view.View, query: TargetQuery,
                             rules: TargetConstraints, source: str,
                             now_s: float, rng: random.Random) -> str | None:
    """Returns where a running request continues when its target leaves.

    All requests of the leaving target need a new one at the same time, at
    daemons that see the same load. A target is therefore drawn at random,
    weighted by its free memory. If none has room, the least used target is
    returned: there the request may be preempted, but on the leaving target it
    is certainly lost.
    """
    peers = len(view.peers)
    wanted = _wanted(query)
    domain = view.targets[source].target.failure_domain
    uses: list[tuple[float, str]] = []
    candidates: list[tuple[float, str]] = []
    for name in view.groups.get(query.service, ()):
        item = view.targets[name]
        if (name in rules.leaving or name in query.excluded or
                not query.accepts(item.target) or now_s < item.avoid_until_s or
                _may_not_continue(rules, name, now_s)):
            continue
        uses.append((admission.estimate_use(item, True, peers, now_s), name))
        free_share = admission.free_memory_share(item, query.profile, peers,
                                                 now_s)
        if free_share > 0 and not rate_limits.is_limited(rules.rates, name):
            weight = (_SAME_DOMAIN_WEIGHT
                      if item.target.failure_domain == domain else 1.0)
            weight *= speed_preference.move_weight(wanted, rules.speeds, name)
            candidates.append((weight * free_share * free_share, name))
    if candidates:
        return rng.choices([name for _, name in candidates],
                           [weight for weight, _ in candidates])[0]
    return min(uses)[1] if uses else None


def has_eligible_target(view: load_view.View,
                        service: str,
                        leaving: frozenset[str],
                        excluded: tuple[str, ...],
                        software_version: str = "") -> bool:
    """Returns whether a target is neither leaving nor excluded.

    A version that is not empty leaves out the targets of others.
    """
    return any(
        name not in leaving and name not in excluded and software_version in (
            "", view.targets[name].target.software_version)
        for name in view.groups.get(service, ()))


def earliest_start_s(view: load_view.View, service: str,
                     rules: TargetConstraints, excluded: tuple[str, ...],
                     now_s: float) -> float:
    """Returns now, or the time from which a closed target can respond.

    It is later than now if all targets that are neither leaving nor excluded
    are closed, or are cold and get nothing from this daemon now.
    """
    if not rules.backoff.pauses and not rules.cold.targets:
        return now_s
    opens_s = None
    for name in view.groups.get(service, ()):
        if name in rules.leaving or name in excluded:
            continue
        opening_s = max(
            target_backoff.find_opening_s(rules.backoff, (name,), now_s) or
            now_s, cold_targets.find_opening_s(rules.cold, name, now_s))
        if opening_s <= now_s:
            return now_s
        opens_s = opening_s if opens_s is None else min(opens_s, opening_s)
    return now_s if opens_s is None else opens_s + _MIN_RESPONSE_S


def choose_other_target(target: events.Target, targets: tuple[events.Target,
                                                              ...],
                        is_usable: collections.abc.Callable[[events.Target],
                                                            bool],
                        rng: random.Random) -> events.Target | None:
    """Returns a target to which the memory of a run at a target can be copied.

    One with the same software version can continue the run, and a copy within
    a failure domain takes half the time.

    >>> source, other = (events.Target(name, "s", name, "a") for name in "tu")
    >>> choose_other_target(source, (source, other), lambda target: True,
    ...                     random.Random(1)).name
    'u'
    """
    others = [
        other for other in targets if other.service == target.service and
        other.name != target.name and other.address != target.address
    ]
    if not others:
        return None

    def rank(other: events.Target) -> tuple[bool, bool, bool]:
        return (is_usable(other),
                other.software_version == target.software_version,
                other.failure_domain == target.failure_domain)

    best = max(rank(other) for other in others)
    return rng.choice([other for other in others if rank(other) == best])
