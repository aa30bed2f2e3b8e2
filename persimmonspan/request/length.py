"""Estimates of the remaining length of running generations.

Lengths are observed per lane, which is a workspace and a request kind. A lane
counts, for each bucket of half an octave of tokens, how many generations ended
in the bucket and how many passed through it. The hazard of a bucket is the
share that ended, and survival is the product of the complements (the
Kaplan-Meier estimator). A running generation counts in the buckets it has
passed, so that long generations are not underestimated before the first of them
ends.

The hazard of a lane is shrunk towards that of its kind, and that of the kind
towards a wide lognormal prior, by a few pseudo-observations. A bucket that no
generation has reached is thus as uncertain as the prior. All counts of a lane
are halved when those of its first bucket exceed a bound, so that old
observations lose weight.

>>> lengths = Lengths()
>>> for _ in range(60):
...     lengths = observe_passed(lengths, "w", "k", False, 0,
...                              bucket_index(100))
...     lengths = observe_ended(lengths, "w", "k", False, 100)
>>> 60 < quantile(survival_curve(lengths, "w", "k", False), 0, 0.5) < 140
True

References:
    Kaplan and Meier, "Nonparametric Estimation from Incomplete Observations",
    Journal of the American Statistical Association 53, 1958.
"""

import math
import typing

import immutables

_BUCKETS_PER_OCTAVE = 2
BUCKETS = 17 * _BUCKETS_PER_OCTAVE
_PSEUDO_OBSERVATIONS = 4.0
_MAX_FIRST_BUCKET_COUNT = 256.0
# A lane's curve is rebuilt when the new observations reach this share of all
# its observations, of which at most the given number counts.
_REBUILD_SHARE = 1 / 16
_MAX_REBUILD_OBSERVATIONS = 64
_SHORT_MEDIAN_TOKENS = 64.0
_LONG_MEDIAN_TOKENS = 1000.0
_PRIOR_SIGMA = 1.3
_MIN_SURVIVAL = 1e-9

Curve = tuple[float, ...]
_ZEROS: Curve = (0.0,) * BUCKETS


class Lane(typing.NamedTuple):
    """Observed lengths of a workspace and kind, or of a kind."""

    ended: Curve = _ZEROS
    passed: Curve = _ZEROS
    hazard: Curve = ()
    survival: Curve = ()
    observations: int = 0
    rebuilt_at: int = 0


class Lengths(typing.NamedTuple):
    """Observed lengths by lane; the lane of a kind has an empty workspace."""

    lanes: immutables.Map[tuple[str, str], Lane] = immutables.Map()


def bucket_index(tokens: float) -> int:
    """Returns the index of the bucket that contains a number of tokens.

    >>> bucket_index(0), bucket_index(1), bucket_index(1e9) == BUCKETS - 1
    (0, 2, True)
    """
    return min(BUCKETS - 1, int(_BUCKETS_PER_OCTAVE * math.log2(tokens + 1)))


def bucket_min_tokens(bucket: float) -> float:
    """Returns the minimum number of tokens in a bucket."""
    return 2**(bucket / _BUCKETS_PER_OCTAVE) - 1


_BUCKET_UPPER_TOKENS = tuple(bucket_min_tokens(i + 1) for i in range(BUCKETS))


def _build_prior(median_tokens: float) -> tuple[Curve, Curve]:

    def _survival(bucket: int) -> float:
        z = math.log((bucket_min_tokens(bucket) + 0.5) / median_tokens)
        return max(_MIN_SURVIVAL, 0.5 * math.erfc(z / _PRIOR_SIGMA / 2**0.5))

    hazard = tuple(1 - _survival(i + 1) / _survival(i) for i in range(BUCKETS))
    return hazard, _survival_from_hazard(hazard)


def _survival_from_hazard(hazard: typing.Iterable[float]) -> Curve:
    reached = [1.0]
    for value in hazard:
        reached.append(max(_MIN_SURVIVAL, reached[-1] * (1 - value)))
    return tuple(reached)


_PRIORS = {
    True: _build_prior(_SHORT_MEDIAN_TOKENS),
    False: _build_prior(_LONG_MEDIAN_TOKENS)
}


def observe_passed(lengths: Lengths, workspace: str, kind: str, is_short: bool,
                   first: int, last: int) -> Lengths:
    """Counts a generation that passed the buckets `first` to `last` - 1."""
    if last <= first:
        return lengths
    lanes = lengths.lanes
    for key in (("", kind), (workspace, kind)):
        lane = lanes.get(key) or Lane(survival=_PRIORS[is_short][1])
        passed = (lane.passed[:first] +
                  tuple(value + 1 for value in lane.passed[first:last]) +
                  lane.passed[last:])
        lanes = lanes.set(key, lane._replace(passed=passed))
    return Lengths(lanes)


def observe_ended(lengths: Lengths, workspace: str, kind: str, is_short: bool,
                  tokens: int) -> Lengths:
    """Counts a generation that completed after `tokens`."""
    lanes = lengths.lanes
    bucket = bucket_index(tokens)
    prior = _PRIORS[is_short][0]
    for key in (("", kind), (workspace, kind)):
        lane = lanes.get(key) or Lane()
        ended = (lane.ended[:bucket] + (lane.ended[bucket] + 1,) +
                 lane.ended[bucket + 1:])
        count = lane.observations + 1
        lane = Lane(ended, lane.passed, lane.hazard, lane.survival, count,
                    lane.rebuilt_at)
        if (not lane.hazard or count - lane.rebuilt_at
                >= _REBUILD_SHARE * min(count, _MAX_REBUILD_OBSERVATIONS)):
            hazard = _shrink_hazard(lane, prior)
            lane = _fade_counts(
                lane._replace(hazard=hazard,
                              survival=_survival_from_hazard(hazard),
                              rebuilt_at=count))
        prior = lane.hazard
        lanes = lanes.set(key, lane)
    return Lengths(lanes)


def _shrink_hazard(lane: Lane, prior: Curve) -> Curve:
    return tuple(
        (ended + _PSEUDO_OBSERVATIONS * value) /
        (ended + passed + _PSEUDO_OBSERVATIONS)
        for ended, passed, value in zip(lane.ended, lane.passed, prior))


def _fade_counts(lane: Lane) -> Lane:
    if lane.ended[0] + lane.passed[0] <= _MAX_FIRST_BUCKET_COUNT:
        return lane
    return lane._replace(ended=tuple(value / 2 for value in lane.ended),
                         passed=tuple(value / 2 for value in lane.passed))


def survival_curve(lengths: Lengths, workspace: str, kind: str,
                   is_short: bool) -> Curve:
    """Returns the survival curve of a lane, else of its kind, else the prior.

    Entry `b` is the probability that a generation reaches bucket `b`.
    """
    lane = lengths.lanes.get((workspace, kind))
    if lane is None or not lane.observations:
        lane = lengths.lanes.get(("", kind))
    if lane is None or not lane.observations:
        return _PRIORS[is_short][1]
    return lane.survival


def survival(curve: Curve, tokens: float) -> float:
    """Returns the probability that a generation reaches `tokens`."""
    position = _BUCKETS_PER_OCTAVE * math.log2(tokens + 1)
    bucket = int(position)
    if bucket >= BUCKETS:
        return curve[BUCKETS]
    low = curve[bucket]
    return low + (position - bucket) * (curve[bucket + 1] - low)


def quantile(curve: Curve, tokens: int, part: float) -> float:
    """Returns the length below which `part` of those reaching `tokens` end."""
    level = survival(curve, tokens) * (1 - part)
    for bucket in range(bucket_index(tokens), BUCKETS):
        if curve[bucket + 1] <= level:
            low, high = curve[bucket], curve[bucket + 1]
            inside = (low - level) / (low - high) if low > high else 0.0
            return max(float(tokens),
                       bucket_min_tokens(bucket + max(0.0, inside)))
    return bucket_min_tokens(BUCKETS)


def expected_work(curve: Curve,
                  max_length_tokens: float) -> tuple[float, float]:
    """Returns the expected KV memory of a generation, summed over its steps.

    Args:
        curve: Survival curve of the lane.
        max_length_tokens: Tokens beyond which a generation is not counted.

    Returns:
        The sum over the decoding steps of the generated tokens held, and the
        expected number of steps, for which each prompt token is held.
    """
    total = steps = low = 0.0
    for bucket, high in enumerate(_BUCKET_UPPER_TOKENS):
        high = min(max_length_tokens, high)
        part = (curve[bucket] + curve[bucket + 1]) / 2 * (high - low)
        steps += part
        total += part * (low + high) / 2
        if high >= max_length_tokens:
            break
        low = high
    return total, steps
