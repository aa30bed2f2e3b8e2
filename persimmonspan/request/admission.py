"""Memory-aware admission: what a target can take without preemption.

An engine that runs out of KV memory preempts a generation and computes it
again, which stalls its stream and wastes its tokens. A request is therefore
admitted to an engine only if, at each horizon, the expected memory of all that
runs there, with the request, plus some standard deviations of it, fits. The
expectation alone would be exceeded half of the time; the sum of high quantiles
of each generation would leave most memory idle.

Long work may not use the last part of the memory and of the running slots,
which is thus free for short work at any moment.

See Also:
    `persimmonspan.process.load_view`: the load against which is admitted.
    `persimmonspan.request.length`: survival of a generation.
"""

import typing

from persimmonspan.process import load_view
from persimmonspan.request import events
from persimmonspan.request import length

# Standard deviations of the predicted memory that are kept free. Below zero, as
# the peaks of several generations seldom fall together; preemptions raise it.
# Source: `docs/design/emulator.md`.
_DEVIATIONS = -0.5
# More of them after preemptions were seen on the target, up to the limit.
_DEVIATIONS_PER_CAUTION = 0.5
_MOST_DEVIATIONS = 2.6
# Engines keep some blocks free and fill the last block of each sequence half.
_SEQUENCE_OVERHEAD_TOKENS = 12
_USABLE_SHARE = 0.985
# Part of memory and slots that long work leaves to short work.
_SHORT_RESERVE_SHARE = 0.08
_LONG_SLOTS_SHARE = 0.75
# Part of the memory up to which copies of requests may fill it. Copies guard
# against crashes; at a notice there is time for a move, if memory is free then.
# Source: `docs/design/emulator.md`.
_COPY_SHARE = 0.3
# Below this part of its first memory a request counts as ended.
_GONE_SHARE = 0.05
# A request must be able to end within its deadline with this probability.
_LIKELY_SHARE = 0.85
# Work beyond is not counted: callers leave before longer texts end.
_LONGEST_TOKENS = 8192.0
# Horizon by which targets are ranked, by whether the request is long.
_RANK_HORIZONS = {False: 1, True: 3}
# Part of the memory that prompts may fill which are still to be prefilled: an
# engine reads them one after the other, and the last would start late.
_PREFILL_SHARE = 0.45
# Prompts that are still to be prefilled delay short work more than they use.
_PREFILL_WEIGHT = 3.0
# A report this old no longer says that the engine has no queue.
_REPORT_TRUSTED_S = 2.0
# Usable memory falls by this share as reports grow old, until the age.
_OLD_REPORT_SHARE = 0.08
_OLD_REPORT_S = 15.0


def profile(curve: length.Curve, prompt_tokens: int, tokens: int,
            max_output_tokens: int) -> load_view.Profile:
    """Returns the memory that a generation will hold at each horizon.

    Args:
        curve: Survival of its lane.
        prompt_tokens: Tokens of its prompt.
        tokens: Tokens it has generated.
        max_output_tokens: Tokens after which it ends in any case.
    """
    alive = length.survival(curve, tokens)
    held = float(prompt_tokens + tokens + _SEQUENCE_OVERHEAD_TOKENS)
    mean, variance = [held], [0.0]
    for ahead in load_view.HORIZONS_TOKENS[1:]:
        if tokens + ahead >= max_output_tokens:
            mean.append(0.0)
            variance.append(0.0)
            continue
        part = min(1.0, length.survival(curve, tokens + ahead) / alive)
        then = held + ahead
        mean.append(part * then)
        variance.append(part * (1 - part) * then * then)
    return load_view.Profile(tuple(mean), tuple(variance))


class Outlook(typing.NamedTuple):
    """What a lane's curve says of a request that has not started.

    It depends on the lane only, so that it is kept as long as the curve.
    """

    curve: length.Curve
    alive: load_view.Vector  # Probability to reach each horizon.
    work_per_prompt_token: float
    work: float
    likely_tokens: float  # Most end within as many.


def outlook(curve: length.Curve) -> Outlook:
    """Returns the outlook of a lane."""
    work, steps = length.work(curve, _LONGEST_TOKENS)
    return Outlook(
        curve,
        tuple(
            length.survival(curve, ahead)
            for ahead in load_view.HORIZONS_TOKENS), steps, work,
        length.quantile(curve, 0, _LIKELY_SHARE))


def first_profile(view: Outlook, prompt_tokens: int,
                  max_output_tokens: int) -> load_view.Profile:
    """Returns the profile of a request that has not started."""
    if max_output_tokens <= load_view.HORIZONS_TOKENS[-1]:
        return profile(view.curve, prompt_tokens, 0, max_output_tokens)
    held = prompt_tokens + _SEQUENCE_OVERHEAD_TOKENS
    mean, variance = [], []
    for ahead, part in zip(load_view.HORIZONS_TOKENS, view.alive):
        expected = part * (held + ahead)
        mean.append(expected)
        variance.append(expected * (1 - part) * (held + ahead))
    return load_view.Profile(tuple(mean), tuple(variance))


def use(item: load_view.TargetView, is_long: bool, peers: int,
        now_s: float) -> float:
    """Returns roughly which part of a target is in use, to rank targets."""
    target = item.target
    if not target.kv_capacity_tokens:
        return (item.running + item.peers_running) / target.max_running
    horizon = _RANK_HORIZONS[is_long]
    tokens = (item.own.mean[horizon] + item.peers.mean[horizon] +
              peers * load_view.recent_tokens(item, now_s))
    prefill = item.prefill_tokens + item.peers_prefill_tokens
    if not is_long or prefill:
        tokens += _PREFILL_WEIGHT * prefill
    return tokens / target.kv_capacity_tokens


def unit(item: load_view.TargetView, new: load_view.Profile,
         is_long: bool) -> float:
    """Returns by how much `use` of a target grows with a request."""
    target = item.target
    if not target.kv_capacity_tokens:
        return 1.0 / target.max_running
    tokens = new.mean[_RANK_HORIZONS[is_long]] + _PREFILL_WEIGHT * new.mean[0]
    return tokens / target.kv_capacity_tokens


def fits(item: load_view.TargetView, new: load_view.Profile, is_long: bool,
         peers: int, now_s: float) -> bool:
    """Returns whether a target can take a request.

    Args:
        item: The target.
        new: Profile of the request.
        is_long: Whether it belongs to the long class.
        peers: Number of peers that send to the same targets.
        now_s: Time.
    """
    target = item.target
    # A daemon may always use its even part; what peers leave is lent.
    running = item.running + item.peers_running + 1
    if (running > target.max_running and
            item.running * (peers + 1) >= target.max_running):
        return False
    if not target.kv_capacity_tokens:
        return True
    prefill = item.prefill_tokens + item.peers_prefill_tokens
    if (prefill > 0 and
            prefill + new.mean[0] > _PREFILL_SHARE * target.kv_capacity_tokens):
        return False
    if is_long and not _long_slot_free(item, target, now_s):
        return False
    limit = _USABLE_SHARE * target.kv_capacity_tokens
    if is_long:
        limit -= _SHORT_RESERVE_SHARE * target.kv_capacity_tokens
    age_s = min(_OLD_REPORT_S, now_s - item.reported_s)
    if peers and age_s > _REPORT_TRUSTED_S:
        limit *= 1 - _OLD_REPORT_SHARE * age_s / _OLD_REPORT_S
    return peak_tokens(item, new, peers, now_s) <= limit


def fits_copy(item: load_view.TargetView, new: load_view.Profile, peers: int,
              now_s: float) -> bool:
    """Returns whether a target has memory to keep a copy of a request."""
    limit = _COPY_SHARE * item.target.kv_capacity_tokens
    return peak_tokens(item, new, peers, now_s) <= limit


def room(item: load_view.TargetView, new: load_view.Profile, peers: int,
         now_s: float) -> float:
    """Returns the part of the memory that is left beside a running request."""
    capacity = item.target.kv_capacity_tokens
    if not capacity:
        return 0.0
    return _USABLE_SHARE - peak_tokens(item, new, peers, now_s) / capacity


def places(item: load_view.TargetView, new: load_view.Profile, peers: int,
           now_s: float) -> float:
    """Returns how many requests like one an engine has room for."""
    capacity = item.target.kv_capacity_tokens
    prefill = item.prefill_tokens + item.peers_prefill_tokens
    unread = _PREFILL_SHARE * capacity - prefill
    held = room(item, new, peers, now_s) * capacity
    return max(1.0, min(unread / new.mean[0], 1 + held / max(new.mean)))


def _long_slot_free(item: load_view.TargetView, target: events.Target,
                    now_s: float) -> bool:
    if item.long_running >= _LONG_SLOTS_SHARE * target.max_running:
        return False
    is_queueing = item.waiting and now_s - item.reported_s < _REPORT_TRUSTED_S
    return not is_queueing


def peak_tokens(item: load_view.TargetView, new: load_view.Profile, peers: int,
                now_s: float) -> float:
    """Returns the largest predicted memory, with its safety margin.

    Horizons at which the request will have ended do not count: short work does
    not wait for a peak that it will not see.
    """
    deviations = min(
        _MOST_DEVIATIONS, _DEVIATIONS +
        _DEVIATIONS_PER_CAUTION * load_view.recent_preemptions(item, now_s))
    least = _GONE_SHARE * new.mean[0]
    peak = 0.0
    for own, own_v, peer, peer_v, mean, variance in zip(item.own.mean,
                                                        item.own.variance,
                                                        item.peers.mean,
                                                        item.peers.variance,
                                                        new.mean, new.variance):
        if mean < least:
            break
        spread = own_v + peer_v + variance
        value = own + peer + mean
        if spread > 0:
            value += deviations * spread**0.5
        peak = max(peak, value)
    return (peak + item.copy_tokens + item.peers_copy_tokens +
            load_view.extra_tokens(item, now_s) +
            peers * load_view.recent_tokens(item, now_s))
