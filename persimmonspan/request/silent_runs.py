"""Runs that may go on at a target whose connection brings nothing more.

A network may drop a connection without a reset, while new connections work. A
target does not notice that its caller closes such a connection, and works on.
If the stream went on elsewhere meanwhile, two targets would generate it.

Before a silent stream is given up, its target is therefore asked over a new
connection what has become of the run (`judge`), and is told to stop it. The
target owns this state, so nothing of it is kept here.

See Also:
    `persimmonspan.request.pauses`: how long a stream may be silent.
    `persimmonspan.request.copies`: where the stream continues.
"""

import collections.abc
import enum
import logging
import time

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.request import copies
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import pauses

# A round trip between failure domains; a live target answers within it.
_ASK_TIMEOUT_S = 0.3
# A run stops when the call arrives; the rest is the time of its last copy.
_STOP_TIMEOUT_S = 0.5
# Where the last question got no answer: a round trip between failure domains.
_UNANSWERED_STOP_TIMEOUT_S = 0.15
# Events of a sound connection that may be on their way.
_EVENTS_IN_TRANSIT = 1

_logger = logging.getLogger(__name__)


class Verdict(enum.StrEnum):
    """What is known of a run whose connection is silent."""

    NO_ANSWER = "no_answer"  # The target did not answer, or was not asked.
    UNKNOWN = "unknown"  # The answer does not tell.
    SILENT = "silent"  # The target itself has made nothing more.
    GONE = "gone"  # The target does not have the run.
    CUT_OFF = "cut_off"  # The target has made events that did not arrive.


def judge(run: forwarded.RunReport | None, received_events: int) -> Verdict:
    """Returns what a target's report says of a run.

    Args:
        run: What the target reports, or None.
        received_events: Number of events of the stream that arrived.

    >>> judge(forwarded.RunReport(made_events=9, waiting=0), 4)
    <Verdict.CUT_OFF: 'cut_off'>
    >>> judge(forwarded.RunReport(made_events=None, waiting=0), 4)
    <Verdict.GONE: 'gone'>
    """
    if run is None:
        return Verdict.UNKNOWN
    if run.made_events is None:
        # A preempted run waits, and is not listed.
        return Verdict.SILENT if run.waiting else Verdict.GONE
    return (Verdict.CUT_OFF if run.made_events > received_events +
            _EVENTS_IN_TRANSIT else Verdict.SILENT)


class Silence:
    """Bears the silence of one attempt's target, as long as it may be sound.

    Args:
        limits: How long the silence may last.
        routed_call: The stream.
        context: Services of the process.
        target: Target of the attempt.
        run_copies: Copies of the run.
    """

    def __init__(self, limits: pauses.SilenceLimits,
                 routed_call: forwarded.RoutedCall, context: copies.ContextLike,
                 target: events.Target, run_copies: copies.Copies) -> None:
        self._routed_call = routed_call
        self._context = context
        self._target = target
        self._copies = run_copies
        # Only targets with memory of runs can be asked about them.
        self._has_memory = target.kv_capacity_tokens > 0
        self._ask_s = limits.ask_s if self._has_memory else ()
        self._steps_s = (*self._ask_s, limits.move_s, limits.end_s)
        self._step = 0
        self._received_events = -1
        self._since_s = 0.0  # When the silence began.
        self._verdict = Verdict.UNKNOWN  # The last one.

    @property
    def first_s(self) -> float:
        """Time without an event after which to call `handle`."""
        return self._steps_s[0]

    def handle(self, received_events: int, backup: events.Target | None,
               can_continue_elsewhere: collections.abc.Callable[[], bool],
               has_input: collections.abc.Callable[[], bool]) -> float | None:
        """Handles a silence; returns how long it may go on, or None.

        Args:
            received_events: Number of events of the stream that arrived.
            backup: Target with a copy kept from the stream's start.
            can_continue_elsewhere: Returns whether another target may continue
                the stream.
            has_input: Returns whether bytes of the target wait to be read.
        """
        if received_events != self._received_events:
            self._received_events, self._step = received_events, 0
            self._since_s = time.monotonic() - self.first_s
        step = self._step
        if step < len(self._ask_s):
            self._verdict = verdict = self._ask()
            # A run that is not listed the first time may have been preempted.
            is_lost = verdict is Verdict.CUT_OFF or (
                verdict is Verdict.GONE and step == len(self._ask_s) - 1)
            if is_lost and not has_input() and (self._stop(backup) or
                                                can_continue_elsewhere()):
                return None
        elif step == len(self._steps_s) - 1:
            return None
        elif can_continue_elsewhere():
            self._stop(backup)
            return None
        else:
            self._context.metrics.count("stream_silence_borne")
            _logger.info("stream is silent and stays at its target",
                         extra={
                             "target": self._target.name,
                             "events": received_events
                         })
        self._step += 1
        # The calls to the target are a part of the silence.
        return max(0.0,
                   self._since_s + self._steps_s[self._step] - time.monotonic())

    def _stop(self, backup: events.Target | None) -> bool:
        # A target that is slow to answer still stops the run.
        timeout_s = (_UNANSWERED_STOP_TIMEOUT_S
                     if self._verdict is Verdict.NO_ANSWER else _STOP_TIMEOUT_S)
        return self._has_memory and self._copies.stop(self._target, backup,
                                                      timeout_s)

    def _ask(self) -> Verdict:
        """Asks the target over a new connection what has become of the run."""
        context, target = self._context, self._target
        if context.pauses.is_closed(target.name):
            return Verdict.NO_ANSWER
        run, reason = None, ""
        try:
            head, body = exchange.call(target.address,
                                       context.wire.encode_report_query(),
                                       _ASK_TIMEOUT_S)
            context.pauses.record(target.name,
                                  context.wire.decode_retry_after(head),
                                  "report")
            run = context.wire.decode_run(head, body,
                                          self._routed_call.call.request_id)
        except errors.TargetError as error:
            reason = str(error)
        verdict = (Verdict.NO_ANSWER if reason else judge(
            run, self._received_events))
        context.metrics.count(f"silent_run_{verdict}")
        _logger.info("target asked about a silent stream",
                     extra={
                         "target": target.name,
                         "outcome": verdict,
                         "received_events": self._received_events,
                         "made_events": run and run.made_events,
                         "reason": reason
                     })
        return verdict
