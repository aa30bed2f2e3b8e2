"""Stops runs that may go on at targets although nobody waits for them.

One thread keeps the schedule, and a few others make the calls, so that targets
that do not answer delay neither callers nor the runs at other targets. A stream
that goes on elsewhere waits for the answer for a short time; the call goes on
without it.

See Also:
    `persimmonspan.request.abandoned_runs`: decides when to call.
    `persimmonspan.request.current_run`: decides how long to wait.
"""

import collections.abc
import concurrent.futures
import contextlib
import logging
import threading
import time

from persimmonspan.process import threads
from persimmonspan.request import abandoned_runs
from persimmonspan.request import events
from persimmonspan.request import services
from persimmonspan.request import stop_call

# Most targets end a run when its connection closes, and need no call.
_GRACE_S = 0.1
_MAX_CALLS = 16
# How long the end of the process waits for calls that are due.
_MAX_FLUSH_S = 0.3
_FLUSH_CHECK_S = 0.01
_CHECK_INTERVAL_S = 0.3

FindOther = collections.abc.Callable[[events.Target], events.Target | None]

_logger = logging.getLogger(__name__)


class _Call:
    """A call that a stream waits for."""

    def __init__(self) -> None:
        self.answered = threading.Event()
        self.answer: stop_call.Answer | None = None
        self.is_late = False  # The stream has gone on.


class RunStopper:
    """The abandoned runs of a daemon; may be used from any thread.

    Args:
        context: Services for the calls.
        find_other: Returns another target to which the memory of a run at a
            target can be copied, or None.
        is_stopping: Returns whether this process ends soon.
    """

    def __init__(self, context: services.CallContext, find_other: FindOther,
                 is_stopping: collections.abc.Callable[[], bool]) -> None:
        self._context = context
        self._find_other = find_other
        self._is_stopping = is_stopping
        self._state = abandoned_runs.State()
        # Targets of the runs. They may leave the configuration meanwhile.
        self._targets: dict[str, events.Target] = {}
        self._changed = threading.Condition()
        self._is_stopped = False
        self._calls = concurrent.futures.ThreadPoolExecutor(
            _MAX_CALLS, "run-stopper")

    def find_other(self, target: events.Target) -> events.Target | None:
        """Returns a target to which the memory of a run can be copied."""
        return self._find_other(target)

    def stop(self, order: stop_call.Order, end_s: float, has_started: bool,
             timeout_s: float) -> stop_call.Answer:
        """Stops a run whose request is to go on elsewhere.

        Without a final answer in time, the run is stopped in the background.

        Args:
            order: The run.
            end_s: Monotonic time of the deadline that the target received.
            has_started: Whether the target has made an event of it.
            timeout_s: How long to wait for the answer.
        """
        call = _Call()
        run = abandoned_runs.Run(order.target.name, order.request_id)
        with self._changed:
            self._targets[order.target.name] = order.target
            state = abandoned_runs.add(self._state, run, end_s,
                                       time.monotonic(), has_started)
            self._state = abandoned_runs.begin_call(state, run)
        try:
            threading.Thread(target=self._stop_for_stream,
                             args=(order, run, call),
                             daemon=True).start()
        except RuntimeError:
            # The process has too many threads; the run is stopped later.
            _logger.exception("stop of a run put off")
            self._record(run, abandoned_runs.StopResult.UNCLEAR)
            return stop_call.Answer(abandoned_runs.StopResult.UNCLEAR)
        call.answered.wait(timeout_s)
        with self._changed:
            call.is_late = call.answer is None
            return call.answer or stop_call.Answer(
                abandoned_runs.StopResult.NO_ANSWER)

    def abandon(self, target: events.Target, request_id: str, end_s: float,
                has_started: bool) -> None:
        """Has a run stopped soon, if its target does not end it by itself.

        Args:
            target: Target of the run; nothing is done for plain services.
            request_id: Id of the request as its caller sent it.
            end_s: Monotonic time of the deadline that the target received.
            has_started: Whether the target has made an event of it.
        """
        now_s = time.monotonic()
        if target.kv_capacity_tokens <= 0 or end_s <= now_s:
            return
        due_s = now_s if self._is_stopping() else now_s + _GRACE_S
        with self._changed:
            self._targets[target.name] = target
            self._state = abandoned_runs.add(
                self._state, abandoned_runs.Run(target.name, request_id), end_s,
                due_s, has_started)
            self._changed.notify()

    def is_pending(self, target: events.Target, request_id: str) -> bool:
        """Returns whether a run at a target is still to be stopped."""
        with self._changed:
            return abandoned_runs.is_pending(
                self._state, abandoned_runs.Run(target.name, request_id))

    def is_silent(self, target: events.Target) -> bool:
        """Returns whether a target has just left a call without an answer."""
        with self._changed:
            return abandoned_runs.is_silent(self._state, target.name,
                                            time.monotonic())

    @contextlib.contextmanager
    def running(self) -> collections.abc.Iterator[None]:
        """Makes the calls until the block ends."""
        with threads.running(self._run, self._stop):
            yield
        self._calls.shutdown(wait=False, cancel_futures=True)

    def _stop(self) -> None:
        end_s = time.monotonic() + _MAX_FLUSH_S
        while time.monotonic() < end_s and self._has_new_runs():
            time.sleep(_FLUSH_CHECK_S)
        with self._changed:
            self._is_stopped = True
            self._changed.notify()

    def _has_new_runs(self) -> bool:
        with self._changed:
            return abandoned_runs.has_new_runs(self._state)

    def _run(self) -> None:
        while True:
            with self._changed:
                if self._is_stopped:
                    return
                self._state, due, expired = abandoned_runs.select_due(
                    self._state, time.monotonic())
                if not due and not expired:
                    self._wait()
            for run in expired:
                self._log_end(run, "deadline")
            for run in due:
                self._calls.submit(self._call, run)

    def _wait(self) -> None:
        if not self._state.entries:
            self._targets.clear()
            self._changed.wait()
            return
        wait_s = abandoned_runs.next_due_s(self._state) - time.monotonic()
        self._changed.wait(min(max(0.0, wait_s), _CHECK_INTERVAL_S))

    def _call(self, run: abandoned_runs.Run) -> None:
        try:
            self._stop_run(run)
        except Exception:  # pylint: disable=broad-exception-caught
            # The run must not count as being called for good.
            _logger.exception("stop of a run failed")
            self._record(run, abandoned_runs.StopResult.UNCLEAR)

    def _stop_run(self, run: abandoned_runs.Run) -> None:
        with self._changed:
            target = self._targets[run.target]
        pause_s = self._context.pauses.left_s(run.target)
        if pause_s:
            _logger.info("run to be stopped when its target opens",
                         extra={
                             "target": run.target,
                             "stopped_request": run.request_id,
                             "left_s": round(pause_s, 3)
                         })
            with self._changed:
                self._state = abandoned_runs.defer(self._state, run, pause_s,
                                                   time.monotonic())
                self._changed.notify()
            return
        answer = stop_call.send(
            self._context,
            stop_call.Order(target, run.request_id, self._find_other(target)))
        self._record(run, answer.result)
        if answer.handle is not None:
            stop_call.free(self._context, target, answer.handle)

    def _stop_for_stream(self, order: stop_call.Order, run: abandoned_runs.Run,
                         call: _Call) -> None:
        answer = stop_call.Answer(abandoned_runs.StopResult.UNCLEAR)
        try:
            answer = stop_call.send(self._context, order)
        except Exception:  # pylint: disable=broad-exception-caught
            # The run must not count as being called for good.
            _logger.exception("stop of a run failed")
        self._record(run, answer.result)
        with self._changed:
            call.answer = answer
            is_late = call.is_late
        call.answered.set()
        if is_late and answer.handle is not None:
            stop_call.free(self._context, order.target, answer.handle)

    def _record(self, run: abandoned_runs.Run,
                result: abandoned_runs.StopResult) -> None:
        with self._changed:
            self._state, has_ended = abandoned_runs.record_answer(
                self._state, run, result, time.monotonic())
            self._changed.notify()
        if has_ended:
            self._log_end(run, result)

    def _log_end(self, run: abandoned_runs.Run, reason: str) -> None:
        self._context.metrics.count(f"abandoned_run_{reason}")
        _logger.info("abandoned run ended",
                     extra={
                         "target": run.target,
                         "stopped_request": run.request_id,
                         "reason": reason
                     })
