"""The run of a forwarded request at the target that it was sent to last.

When its connection ends without a whole response, the target may still work on
it. Before the request goes on elsewhere, the target is told to stop the run. If
it does not answer within `_MOVE_TIMEOUT_S`, the request goes on, and the daemon
keeps calling that target meanwhile (`persimmonspan.process.run_stopper`): a
target that is gone or out of reach must not hold up its streams. One whose
process ended refuses the connection, which takes one round trip.

See Also:
    `persimmonspan.request.silent_runs`: runs whose connection has not ended.
"""

import time

from persimmonspan.request import copies
from persimmonspan.request import events
from persimmonspan.request import forwarded

# A pause that callers of streams hardly notice. A live target stops the run
# when the call arrives, and may need longer only to copy its memory.
_MOVE_TIMEOUT_S = 0.1
# Without another target the stream ends unless this one answers.
_ONLY_PLACE_TIMEOUT_S = 0.5


class CurrentRun:
    """Knows whether the last target of a request may still work on it.

    Args:
        routed_call: The request.
        context: Services of the process.
        run_copies: Copies of the run.
    """

    def __init__(self, routed_call: forwarded.RoutedCall,
                 context: copies.ContextLike,
                 run_copies: copies.Copies) -> None:
        self._routed_call = routed_call
        self._context = context
        self._copies = run_copies
        self._target: events.Target | None = None  # None: no run goes on.

    def begin(self, target: events.Target, time_left_s: float) -> None:
        """Records that the request is sent to a target, with this deadline."""
        self._target = target
        self._copies.run_end_s = time.monotonic() + time_left_s
        self._copies.has_run_started = False

    def start(self) -> None:
        """Records that the target has made an event of the response."""
        self._copies.has_run_started = True

    def end(self) -> None:
        """Records that the response shows that the run has ended."""
        self._target = None

    def stop(self, backup: events.Target | None, has_other_place: bool) -> None:
        """Stops the run, as the request may go on elsewhere.

        Args:
            backup: Target with a copy kept from the stream's start.
            has_other_place: Whether another target may continue the request.
        """
        target = self._target
        if target is None or target.kv_capacity_tokens <= 0:
            self._target = None
            return
        if self._copies.stop_result is None:
            self._call(target, backup, has_other_place)
        if self._copies.stop_result is None:
            # The target is closed, or has just left a call without an answer.
            self.abandon()
        self._target = None

    def _call(self, target: events.Target, backup: events.Target | None,
              has_other_place: bool) -> None:
        left_s = self._copies.run_end_s - time.monotonic()
        if left_s <= 0 or (has_other_place and
                           self._context.run_stopper.is_silent(target)):
            return
        timeout_s = (_MOVE_TIMEOUT_S
                     if has_other_place else _ONLY_PLACE_TIMEOUT_S)
        self._copies.stop(target, backup, min(timeout_s, left_s))

    def abandon(self) -> None:
        """Has the run stopped in the background, if it goes on."""
        target, self._target = self._target, None
        if target is not None:
            self._context.run_stopper.abandon(target,
                                              self._routed_call.call.request_id,
                                              self._copies.run_end_s,
                                              self._copies.has_run_started)
