"""Pauses between the events of one stream."""

import typing


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
