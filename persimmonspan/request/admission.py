"""Memory-aware admission: which requests a target can run without preemption.

An engine that runs out of KV memory preempts a generation and computes it
again, which stalls its stream and wastes its tokens. An engine therefore admits
a request only if, at each horizon, the expected memory of all its requests and
the new one, plus some standard deviations, fits. The expectation alone would be
exceeded half of the time; the sum of high quantiles of each generation would
leave most memory idle.

Long requests may not use the last part of the memory and of the running slots,
so that it is always free for short requests.

See Also:
    `persimmonspan.process.load_view`: the load of each target.
    `persimmonspan.request.length`: survival curves of generations.
"""

import typing

from persimmonspan.process import load_view
from persimmonspan.request import events
from persimmonspan.request import length

# Standard deviations of the predicted memory that are kept free. Negative
# because the peaks of several generations seldom coincide; preemptions raise
# it.
# Source: `docs/design/emulator.md`.
_BASE_DEVIATIONS = -0.5
# Deviations added per recent preemption on the target.
_DEVIATIONS_PER_PREEMPTION = 0.5
_MAX_DEVIATIONS = 2.6
# Engines keep some blocks free, and the last block of each sequence is half
# full on average.
_SEQUENCE_OVERHEAD_TOKENS = 12
_USABLE_SHARE = 0.985
# Share of the memory that is reserved for short requests, and of the running
# slots that long requests may use.
_SHORT_RESERVE_SHARE = 0.08
_MAX_LONG_SLOTS_SHARE = 0.75
# Share of the memory up to which copies of requests may fill it. Copies protect
# against crashes; after a notice there is time to move a request, if memory is
# free then.
# Source: `docs/design/emulator.md`.
_MAX_COPY_SHARE = 0.3
# A request whose expected memory falls below this share of its initial memory
# counts as ended.
_ENDED_SHARE = 0.05
# Probability with which a request that starts in time ends by its deadline.
_LIKELY_LENGTH_QUANTILE = 0.85
# Tokens beyond are not counted as work: callers leave before longer texts end.
_MAX_COUNTED_TOKENS = 8192.0
# Index of the horizon by which targets are ranked, by whether the request is
# long.
_RANK_HORIZONS = {False: 1, True: 3}
# Share of the memory that prompts not yet prefilled may fill: an engine
# prefills them one after the other, so the last would start late.
_MAX_PREFILL_SHARE = 0.45
# Weight of the tokens not yet prefilled: they delay short requests by more than
# the memory that they use.
_PREFILL_WEIGHT = 3.0
# An older load report does not show whether the engine has a queue now.
_MAX_TRUSTED_REPORT_AGE_S = 2.0
# Usable memory falls linearly with the age of the load report, at most by this
# share at this age.
_MAX_REPORT_AGE_DISCOUNT = 0.08
_MAX_REPORT_AGE_S = 15.0


def build_profile(curve: length.Curve, prompt_tokens: int, tokens: int,
                  max_output_tokens: int) -> load_view.Profile:
    """Returns the memory that a generation will hold at each horizon.

    Args:
        curve: Survival curve of its lane.
        prompt_tokens: Tokens of its prompt.
        tokens: Tokens generated so far.
        max_output_tokens: Number of generated tokens at which it ends.
    """
    alive = length.survival(curve, tokens)
    held = float(prompt_tokens + tokens + _SEQUENCE_OVERHEAD_TOKENS)
    mean, variance = [held], [0.0]
    for ahead in load_view.HORIZONS_TOKENS[1:]:
        if tokens + ahead >= max_output_tokens:
            mean.append(0.0)
            variance.append(0.0)
            continue
        reach_probability = min(1.0,
                                length.survival(curve, tokens + ahead) / alive)
        held_then = held + ahead
        mean.append(reach_probability * held_then)
        variance.append(reach_probability * (1 - reach_probability) *
                        held_then * held_then)
    return load_view.Profile(tuple(mean), tuple(variance))


class LaneForecast(typing.NamedTuple):
    """Forecast for a lane's requests that have not started.

    It depends only on the lane's curve and is cached until the curve changes.
    """

    curve: length.Curve
    reach_probabilities: load_view.Vector  # Of each horizon.
    work_per_prompt_token: float
    work: float
    likely_tokens: float  # Most generations end within as many.


def build_forecast(curve: length.Curve) -> LaneForecast:
    """Returns the forecast for a lane with a survival curve."""
    work, steps = length.expected_work(curve, _MAX_COUNTED_TOKENS)
    return LaneForecast(
        curve,
        tuple(
            length.survival(curve, ahead)
            for ahead in load_view.HORIZONS_TOKENS), steps, work,
        length.quantile(curve, 0, _LIKELY_LENGTH_QUANTILE))


def build_initial_profile(forecast: LaneForecast, prompt_tokens: int,
                          max_output_tokens: int) -> load_view.Profile:
    """Returns the profile of a request that has not started."""
    if max_output_tokens <= load_view.HORIZONS_TOKENS[-1]:
        return build_profile(forecast.curve, prompt_tokens, 0,
                             max_output_tokens)
    held = prompt_tokens + _SEQUENCE_OVERHEAD_TOKENS
    mean, variance = [], []
    for ahead, reach_probability in zip(load_view.HORIZONS_TOKENS,
                                        forecast.reach_probabilities):
        expected = reach_probability * (held + ahead)
        mean.append(expected)
        variance.append(expected * (1 - reach_probability) * (held + ahead))
    return load_view.Profile(tuple(mean), tuple(variance))


def unread_tokens(item: load_view.TargetView, now_s: float) -> float:
    """Returns the prompt tokens at a target that are not prefilled yet."""
    return (item.prefill_tokens + item.peers_prefill_tokens +
            load_view.noticed_tokens(item, now_s))


def estimate_use(item: load_view.TargetView, is_long: bool, peers: int,
                 now_s: float) -> float:
    """Estimates which share of a target is in use, to rank targets."""
    target = item.target
    if not target.kv_capacity_tokens:
        return (item.running + item.peers_running) / target.max_running
    horizon = _RANK_HORIZONS[is_long]
    tokens = (item.own.mean[horizon] + item.peers.mean[horizon] +
              peers * load_view.recent_tokens(item, now_s))
    prefill = unread_tokens(item, now_s)
    if not is_long or prefill:
        tokens += _PREFILL_WEIGHT * prefill
    return tokens / target.kv_capacity_tokens


def estimate_added_use(item: load_view.TargetView, profile: load_view.Profile,
                       is_long: bool) -> float:
    """Estimates by how much a request raises the used share of a target."""
    target = item.target
    if not target.kv_capacity_tokens:
        return 1.0 / target.max_running
    tokens = profile.mean[
        _RANK_HORIZONS[is_long]] + _PREFILL_WEIGHT * profile.mean[0]
    return tokens / target.kv_capacity_tokens


def fits(item: load_view.TargetView, profile: load_view.Profile, is_long: bool,
         peers: int, now_s: float) -> bool:
    """Returns whether a target has room for a request.

    Args:
        item: The target.
        profile: Profile of the request.
        is_long: Whether it belongs to the long class.
        peers: Number of peers that send to the same targets.
        now_s: Current time.
    """
    target = item.target
    # A daemon may always use an equal part of the slots, and the slots that its
    # peers leave free.
    running = item.running + item.peers_running + 1
    if (running > target.max_running and
            item.running * (peers + 1) >= target.max_running):
        return False
    if not target.kv_capacity_tokens:
        return True
    prefill = unread_tokens(item, now_s)
    if (prefill > 0 and prefill + profile.mean[0]
            > _MAX_PREFILL_SHARE * target.kv_capacity_tokens):
        return False
    if is_long and not _has_free_long_slot(item, target, now_s):
        return False
    limit = _USABLE_SHARE * target.kv_capacity_tokens
    if is_long:
        limit -= _SHORT_RESERVE_SHARE * target.kv_capacity_tokens
    age_s = min(_MAX_REPORT_AGE_S, now_s - item.reported_s)
    if peers and age_s > _MAX_TRUSTED_REPORT_AGE_S:
        limit *= 1 - _MAX_REPORT_AGE_DISCOUNT * age_s / _MAX_REPORT_AGE_S
    return peak_tokens(item, profile, peers, now_s) <= limit


def fits_copy(item: load_view.TargetView, profile: load_view.Profile,
              peers: int, now_s: float) -> bool:
    """Returns whether a target has memory for a copy of a request."""
    limit = _MAX_COPY_SHARE * item.target.kv_capacity_tokens
    return peak_tokens(item, profile, peers, now_s) <= limit


def free_memory_share(item: load_view.TargetView, profile: load_view.Profile,
                      peers: int, now_s: float) -> float:
    """Returns the share of the memory that is free beside a request."""
    capacity = item.target.kv_capacity_tokens
    if not capacity:
        return 0.0
    return _USABLE_SHARE - peak_tokens(item, profile, peers, now_s) / capacity


def places(item: load_view.TargetView, profile: load_view.Profile, peers: int,
           now_s: float) -> float:
    """Returns for how many requests with a profile an engine has room."""
    capacity = item.target.kv_capacity_tokens
    prefill = unread_tokens(item, now_s)
    free_prefill_tokens = _MAX_PREFILL_SHARE * capacity - prefill
    free_tokens = free_memory_share(item, profile, peers, now_s) * capacity
    return max(
        1.0,
        min(free_prefill_tokens / profile.mean[0],
            1 + free_tokens / max(profile.mean)))


def _has_free_long_slot(item: load_view.TargetView, target: events.Target,
                        now_s: float) -> bool:
    if item.long_running >= _MAX_LONG_SLOTS_SHARE * target.max_running:
        return False
    is_queueing = (item.waiting and
                   now_s - item.reported_s < _MAX_TRUSTED_REPORT_AGE_S)
    return not is_queueing


def peak_tokens(item: load_view.TargetView, profile: load_view.Profile,
                peers: int, now_s: float) -> float:
    """Returns the peak of the predicted memory, with its safety margin.

    Horizons at which the new request will have ended do not count: a short
    request does not wait for a peak after its end.
    """
    deviations = min(
        _MAX_DEVIATIONS, _BASE_DEVIATIONS +
        _DEVIATIONS_PER_PREEMPTION * load_view.recent_preemptions(item, now_s))
    min_mean = _ENDED_SHARE * profile.mean[0]
    peak = 0.0
    for own, own_variance, peer, peer_variance, mean, variance in zip(
            item.own.mean, item.own.variance, item.peers.mean,
            item.peers.variance, profile.mean, profile.variance):
        if mean < min_mean:
            break
        total_variance = own_variance + peer_variance + variance
        value = own + peer + mean
        if total_variance > 0:
            value += deviations * total_variance**0.5
        peak = max(peak, value)
    return (peak + item.copy_tokens + item.peers_copy_tokens +
            load_view.extra_tokens(item, now_s) +
            peers * load_view.recent_tokens(item, now_s))
