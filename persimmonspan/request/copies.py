"""Copies of a running stream's memory at other targets.

The load: engines leave with about two seconds of notice while streams run for
ten. A copy is made at the notice; the stream stays where it is, since it may
end before its target does, and goes on from the copy once it is cut. The copy
lacks the last tokens only.

See Also:
    `persimmonspan.request.evacuation`: decides where a copy is made.
"""

import logging
import typing

from persimmonspan import errors
from persimmonspan.connection import exchange
from persimmonspan.request import events
from persimmonspan.request import forwarded
from persimmonspan.request import session

# Memory of a long request over a link that others use too.
_MOVE_S = 2.5
_DROP_S = 0.5

_logger = logging.getLogger(__name__)


class Handover(typing.NamedTuple):
    """Where a stream goes on, and the memory that it goes on from."""

    target: events.Target
    resume_from: str


class ContextLike(session.ContextLike, typing.Protocol):
    """What copies need of the process."""

    @property
    def wire(self) -> forwarded.Wire:
        """The formats of the platform."""


class Copies:
    """The copies of one stream at its current target."""

    def __init__(self, placed: forwarded.RoutedCall,
                 context: ContextLike) -> None:
        self._placed = placed
        self._context = context
        self._made: Handover | None = None
        self._handle: str | None = None

    def restart(self) -> None:
        """Forgets copies, as the stream goes on at another target."""
        self._made, self._handle = None, None

    def copy(self, source: events.Target, refuge_name: str) -> None:
        """Has the memory of the running stream copied to another target.

        If that fails, the scheduler is told, and may name another one.
        """
        refuge = self._context.find_target(refuge_name)
        move = self._move(source, refuge) if refuge is not None else None
        if move is None or not move.is_done or move.handle is None:
            self._context.metrics.count("stream_copy_failed")
            self._context.scheduler.tell(
                events.MoveFailed(self._placed.request_id, refuge_name))
            return
        self._context.metrics.count("stream_copied")
        self._handle = move.handle
        self._made = Handover(
            refuge, self._context.wire.copy_location(source.address,
                                                     move.handle))

    def handover(self, keeper: events.Target | None) -> Handover | None:
        """Returns where the stream goes on after it was cut.

        Args:
            keeper: Target that was to keep a copy from the stream's start.
        """
        if self._made is not None:
            self._context.metrics.count("stream_moved_to_refuge")
            return self._made
        if keeper is None:
            return None
        self._context.metrics.count("stream_moved_to_backup")
        return Handover(
            keeper,
            self._context.wire.copy_location(keeper.address,
                                             self._placed.call.request_id))

    def drop(self, source: events.Target) -> None:
        """Frees a copy that the ended stream did not need."""
        handle, self._handle = self._handle, None
        if handle is None:
            return
        try:
            exchange.call(source.address,
                          self._context.wire.encode_drop(handle), _DROP_S)
        except errors.TargetError as error:
            _logger.info("copy not freed", extra={"reason": str(error)})

    def _move(self, source: events.Target,
              refuge: events.Target) -> forwarded.MoveResponse | None:
        order = self._context.wire.encode_move(self._placed.call.request_id,
                                               refuge.address)
        try:
            move = self._context.wire.decode_move(
                *exchange.call(source.address, order, _MOVE_S))
        except errors.TargetError as error:
            _logger.warning("move failed",
                            extra={
                                "target": source.name,
                                "refuge": refuge.name,
                                "reason": str(error)
                            })
            return None
        _logger.info("move",
                     extra={
                         "target": source.name,
                         "refuge": refuge.name,
                         "status": move.status
                     })
        return move
