"""Pauses between the events of one stream, and how long they may last."""

import typing

# The longest of these is how long callers wait for the next event of a stream.
_MIN_PATIENCE_S = 2.0
_OBJECTIVES_PER_PATIENCE = 4
_TOKEN_PAUSES_PER_PATIENCE = 8
# A sound target may be silent for a second and go on.
_MIN_MOVE_S = 1.5
# When the target of a silent stream is asked what has become of the run. A run
# that the first answer does not list may have been on its way to the list.
_ASK_TIMES_S = (1.0, 1.5)
# The rest is for the next target to begin, and to end before the deadline.
_MOVE_SHARE = 0.5
_MOVE_SHARE_OF_TIME_LEFT = 1 / 3
# Callers that wait that long leave by themselves.
_END_MARGIN_S = 0.5


class Pauses(typing.NamedTuple):
    """Pauses between the events of a stream, for the log line of its end."""

    first_s: float = 0.0
    last_s: float = 0.0
    longest_s: float = 0.0
    longest_at_s: float = 0.0  # When the longest pause ended.

    def after(self, now_s: float) -> "Pauses":
        """Returns the timing that includes an event received at `now_s`."""
        if not self.first_s:
            return Pauses(now_s, now_s)
        pause_s = now_s - self.last_s
        if pause_s <= self.longest_s:
            return self._replace(last_s=now_s)
        return Pauses(self.first_s, now_s, pause_s, now_s)


class SilenceLimits(typing.NamedTuple):
    """How long a stream may bring no event.

    Attributes:
        move_s: Until it continues at another target, if it can.
        end_s: Until it ends.
        ask_s: Times at which its target is asked about it, before `move_s`.
    """

    move_s: float
    end_s: float
    ask_s: tuple[float, ...] = ()


def limit_silence(latency_objective_s: float, token_pause_s: float,
                  time_left_s: float) -> SilenceLimits:
    """Returns the limits of a stream.

    A stream that cannot continue elsewhere ends no sooner than its caller would
    leave: the target may be sound.

    Args:
        latency_objective_s: Objective for the time to the first event.
        token_pause_s: Longest pause of a stream that is on time; zero if there
            is no such objective.
        time_left_s: Time to the deadline of the request.

    >>> limit_silence(1.8, 0.18, 39.0)
    SilenceLimits(move_s=3.6, end_s=7.7, ask_s=(1.0, 1.5))
    >>> limit_silence(1.5, 0.18, 6.0)
    SilenceLimits(move_s=2.0, end_s=6.5, ask_s=(1.0, 1.5))
    >>> limit_silence(0.3, 0.0, 39.0)
    SilenceLimits(move_s=1.5, end_s=2.5, ask_s=(1.0,))
    """
    patience_s = max(_MIN_PATIENCE_S,
                     _OBJECTIVES_PER_PATIENCE * latency_objective_s,
                     _TOKEN_PAUSES_PER_PATIENCE * token_pause_s)
    move_s = min(_MOVE_SHARE * patience_s,
                 _MOVE_SHARE_OF_TIME_LEFT * time_left_s)
    move_s = max(_MIN_MOVE_S, move_s)
    return SilenceLimits(move_s, patience_s + _END_MARGIN_S,
                         tuple(at_s for at_s in _ASK_TIMES_S if at_s < move_s))
