"""Copies of a running stream's memory at other targets.

Engines leave with a notice of about two seconds, while streams run for ten. At
the notice, the memory of a stream is copied. The stream stays at its target,
since it may end before the target does, and continues from the copy after it is
interrupted. The copy lacks only the last tokens.

See Also:
    `persimmonspan.request.evacuation`: decides which target receives a copy.
"""

import collections.abc
import logging
import typing

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.process import run_stopper
from persimmonspan.request import abandoned_runs
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import services
from persimmonspan.request import session
from persimmonspan.request import stop_call

# Time to copy the memory of a long request over a shared link.
_COPY_TIMEOUT_S = 2.5
_DROP_TIMEOUT_S = 0.5

_logger = logging.getLogger(__name__)


class Handover(typing.NamedTuple):
    """The target at which a stream continues, and the copy that it uses."""

    target: events.Target
    resume_from: str


class ContextLike(session.ContextLike, services.CallContext, typing.Protocol):
    """The part of the process that copies use."""

    @property
    def find_obstacle(self) -> collections.abc.Callable[[events.Target], str]:
        """Returns why a target gets nothing new, or an empty string."""

    @property
    def run_stopper(self) -> run_stopper.RunStopper:
        """Stops runs that may go on."""


class Copies:
    """The copies of one stream at its current target."""

    def __init__(self, routed_call: forwarded.RoutedCall,
                 context: ContextLike) -> None:
        self._routed_call = routed_call
        self._context = context
        self._handover: Handover | None = None
        self._copy_handle: str | None = None
        # The run that stopped at its target, which keeps its memory.
        self._stopped: Handover | None = None
        # How the last call that stops the run ended; None: none was made.
        self.stop_result: abandoned_runs.StopResult | None = None
        # Deadline of the run at its target, on the monotonic clock.
        self.run_end_s = 0.0
        self.has_run_started = False  # It has made an event.

    @property
    def has_copy(self) -> bool:
        """Whether a copy was made at another target that may be used."""
        return (self._handover is not None and
                not self._context.find_obstacle(self._handover.target))

    def find_backup(self, name: str | None) -> events.Target | None:
        """Returns the target of a backup; None if there is none to be used."""
        target = self._context.find_target(name) if name else None
        if target is None or self._context.find_obstacle(target):
            return None
        return target

    def reset(self) -> None:
        """Forgets the copy, because the stream continues at another target."""
        self._handover, self._copy_handle, self._stopped = None, None, None
        self.stop_result = None

    def copy(self, source: events.Target, target_name: str) -> None:
        """Has the memory of the running stream copied to another target.

        If the copy fails, the scheduler receives `events.MoveFailed` and may
        choose another target.
        """
        target = self.find_backup(target_name)
        move = self._request_copy(source,
                                  target) if target is not None else None
        if move is None or not move.is_done or move.handle is None:
            self._context.metrics.count("stream_copy_failed")
            self._context.scheduler.tell(
                events.MoveFailed(self._routed_call.request_id, target_name))
            return
        self._context.metrics.count("stream_copied")
        self._copy_handle = move.handle
        self._handover = Handover(
            target, self._context.wire.copy_location(source.address,
                                                     move.handle))

    def stop(self, source: events.Target, backup_target: events.Target | None,
             timeout_s: float) -> bool:
        """Stops the run at a target whose connection is dead or has ended.

        The rest of its memory goes to the target at which the stream would
        continue, or to any other one. If it cannot be copied, the run still
        stops, and its target keeps the memory. Without an answer in time, the
        call goes on in the background.

        Args:
            source: The target.
            backup_target: Target with a backup kept from the stream's start.
            timeout_s: Time for the answer.

        Returns:
            Whether the target confirms that it has stopped the run.
        """
        if not self._may_call(source, "stop"):
            return False
        stopper = self._context.run_stopper
        to = (self._handover.target if self._handover else backup_target or
              stopper.find_other(source))
        answer = stopper.stop(
            stop_call.Order(source, self._routed_call.call.request_id, to),
            self.run_end_s, self.has_run_started, timeout_s)
        self.stop_result = answer.result
        if answer.result is not abandoned_runs.StopResult.STOPPED:
            return False
        location = self._context.wire.copy_location(source.address,
                                                    answer.handle)
        self._stopped = Handover(source, location)
        if answer.is_copied and to is not None:
            self._handover = Handover(to, location)
        return True

    def select_handover(self, backup_target: events.Target | None,
                        software_version: str) -> Handover | None:
        """Returns where an interrupted stream continues, or None.

        One stream may continue at a closed target, since its memory is there.

        Args:
            backup_target: Target with a backup kept from the stream's start.
            software_version: Version that began the stream.
        """
        if (backup_target is not None and
                backup_target.software_version != software_version):
            backup_target = None
        if (self._handover is not None and
                self._handover.target.software_version == software_version and
                self._may_continue_at(self._handover.target) and
                self._may_call(self._handover.target, "move")):
            self._context.metrics.count("stream_moved_to_refuge")
            return self._handover
        if (backup_target is None or not self._may_continue_at(backup_target) or
                not self._may_call(backup_target, "move")):
            return self._select_stopped(software_version)
        self._context.metrics.count("stream_moved_to_backup")
        return Handover(
            backup_target,
            self._context.wire.copy_location(backup_target.address,
                                             self._routed_call.call.request_id))

    def _select_stopped(self, software_version: str) -> Handover | None:
        """Returns the target that keeps the stopped run, if it may go on."""
        stopped = self._stopped
        if (stopped is None or
                stopped.target.software_version != software_version or
                not self._may_continue_at(stopped.target) or
                not self._may_call(stopped.target, "move")):
            return None
        self._context.metrics.count("stream_moved_to_its_target")
        return stopped

    def drop_unused_copy(self, source: events.Target) -> None:
        """Frees a copy that the ended stream did not use."""
        handle, self._copy_handle = self._copy_handle, None
        if handle is None:
            return
        # A target discards unused copies itself.
        if self._context.pauses.is_closed(source.name):
            _logger.info("copy of a stream not freed at a closed target",
                         extra={"target": source.name})
            return
        obstacle = self._context.find_obstacle(source)
        if obstacle:
            _logger.info("copy of a stream not freed",
                         extra={
                             "target": source.name,
                             "reason": obstacle
                         })
            return
        try:
            head, _ = exchange.call(source.address,
                                    self._context.wire.encode_drop(handle),
                                    _DROP_TIMEOUT_S)
            services.record_call(self._context, source, head, "drop")
        except errors.TargetError as error:
            _logger.info("failed to free the copy of a stream",
                         extra={"reason": str(error)})

    def _request_copy(self, source: events.Target,
                      target: events.Target) -> forwarded.MoveResponse | None:
        if not self._may_call(source, "copy"):
            return None
        order = self._context.wire.encode_move(
            self._routed_call.call.request_id, target.address)
        try:
            head, body = exchange.call(source.address, order, _COPY_TIMEOUT_S)
            services.record_call(self._context, source, head, "copy")
        except errors.TargetError as error:
            _logger.warning("move failed",
                            extra={
                                "target": source.name,
                                "refuge": target.name,
                                "reason": str(error)
                            })
            return None
        move = self._context.wire.decode_move(head, body)
        _logger.info("move",
                     extra={
                         "target": source.name,
                         "refuge": target.name,
                         "status": move.status
                     })
        return move

    def _may_continue_at(self, target: events.Target) -> bool:
        obstacle = self._context.find_obstacle(target)
        # The call that stops a former run there would stop the stream.
        if not obstacle and self._context.run_stopper.is_pending(
                target, self._routed_call.call.request_id):
            obstacle = "run_to_stop"
        if not obstacle:
            return True
        self._context.metrics.count(f"stream_kept_from_{obstacle}")
        _logger.warning("stream cannot continue at its copy",
                        extra={
                            "target": target.name,
                            "reason": obstacle
                        })
        return False

    def _may_call(self, target: events.Target, purpose: str) -> bool:
        if self._context.pauses.may_cross(target.name):
            return True
        self._context.metrics.count("stream_kept_from_closed_target")
        _logger.warning("stream cannot use a closed target",
                        extra={
                            "target": target.name,
                            "purpose": purpose
                        })
        return False
