"""Tracks for one daemon which targets are leaving, from all sources.

Poll threads, the peer actor and the adoption of configurations report events;
each change of a target is sent to the scheduler once.

See Also:
    `persimmonspan.process.leaving`: decides which targets are leaving.
"""

import collections.abc
import logging
import threading
import time

from persimmonspan.connection import vm_list
from persimmonspan.process import leaving
from persimmonspan.request import events
from persimmonspan.version import model

Send = collections.abc.Callable[[events.Event], None]
Count = collections.abc.Callable[[str], None]

_END_SOURCES = {
    leaving.InventoryRead: "inventory",
    leaving.IncarnationSeen: "incarnation"
}

_logger = logging.getLogger(__name__)


class LeavingTracker:
    """Applies events to the leaving state and sends the changes."""

    def __init__(self, send: Send, count: Count) -> None:
        self._send = send
        self._count = count
        self._state = leaving.State()
        self._targets: tuple[events.Target, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def adopt_configuration(self, configuration: model.Configuration) -> None:
        """Applies the targets and leaving marks of a configuration."""
        targets = tuple(target for service in configuration.services
                        for target in service.targets)
        vm_by_target = tuple(
            (target.name, _host(target.address)) for target in targets)
        with self._lock:
            self._targets = targets
            # The scheduler forgets marks of targets that it does not know.
            self._leaving &= {target.name for target in targets}
            self._apply(
                leaving.VmsAssigned(vm_by_target),
                leaving.InventoryRead(configuration.revision,
                                      configuration.leaving))

    def apply_vm_list(self, vms: collections.abc.Iterable[vm_list.Vm],
                      age_s: float) -> frozenset[str]:
        """Applies the platform's list, measured `age_s` seconds ago.

        Returns:
            The targets that are leaving after this list and were not before.
        """
        names = tuple(_host(vm.address) for vm in vms if vm.is_leaving)
        with self._lock:
            before = self._leaving
            self._apply(leaving.VmsListed(names, age_s))
            return self._leaving - before

    def apply_reclaim_notice(self, target: str) -> None:
        """Applies a notice that the platform will reclaim a target."""
        with self._lock:
            self._apply(leaving.ReclaimNoticed(target))

    def apply_drain_refusal(self, target: str, incarnation: str | None) -> None:
        """Applies a target's refusal of work because it is draining."""
        with self._lock:
            self._apply(leaving.DrainRefused(target, incarnation))

    def record_incarnation(self, target: str, incarnation: str) -> None:
        """Records the incarnation that a target reported."""
        with self._lock:
            self._apply(leaving.IncarnationSeen(target, incarnation))

    def apply_answer(self, target: str, incarnation: str) -> None:
        """Applies that an incarnation says in an answer that it leaves."""
        # A target that leaves says so in each answer.
        if target in self._leaving:
            return
        with self._lock:
            self._apply(leaving.LeavingAnswered(target, incarnation))
            is_leaving = target in self._leaving
        if not is_leaving:
            self._count("target_leaving_void")
            _logger.info("report that a target leaves is void",
                         extra={
                             "target": target,
                             "incarnation": incarnation
                         })

    def _apply(self, *received: leaving.Event) -> None:
        now_s = time.monotonic()
        source = ""
        for event in received:
            self._state, commands = leaving.step(self._state, event, now_s)
            for command in commands:
                if isinstance(command, leaving.LeavingStarted):
                    source = command.source
        leaving_now = frozenset(target.name
                                for target in self._targets
                                if leaving.is_leaving(self._state, target.name))
        for name in sorted(leaving_now - self._leaving):
            # A target whose VM leaves already has joined the inventory.
            source = source or leaving.Source.INVENTORY
            self._count(f"target_leaving_{source}")
            _logger.info("target leaving",
                         extra={
                             "target": name,
                             "source": source,
                             "age_s": getattr(received[-1], "age_s", 0.0)
                         })
            self._send(events.TargetLeaving(name))
        for name in sorted(self._leaving - leaving_now):
            self._count("target_leaving_ended")
            _logger.info(
                "target no longer leaving",
                extra={
                    "target": name,
                    "source": _END_SOURCES.get(type(received[-1]), "unknown")
                })
            self._send(events.TargetReturned(name))
        self._leaving = leaving_now


def _host(address: str) -> str:
    return address.rpartition(":")[0] or address
