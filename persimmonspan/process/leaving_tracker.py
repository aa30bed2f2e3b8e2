"""Keeps which targets leave, from all sources, for one daemon.

Poll threads, the peer actor and configuration adoption report what they see;
each change of a target is told to the scheduler once.

See Also:
    `persimmonspan.process.leaving`: the decision.
"""

import collections.abc
import threading
import time

from persimmonspan.connection import vm_list
from persimmonspan.process import leaving
from persimmonspan.request import events
from persimmonspan.version import model

Send = collections.abc.Callable[[events.Event], None]


class LeavingTracker:
    """Applies events to the leaving state and reports the changes."""

    def __init__(self, send: Send) -> None:
        self._send = send
        self._state = leaving.State()
        self._targets: tuple[events.Target, ...] = ()
        self._leaving: frozenset[str] = frozenset()
        self._lock = threading.Lock()

    def adopt_configuration(self, configuration: model.Configuration) -> None:
        """Takes targets and marks of a configuration."""
        targets = tuple(target for service in configuration.services
                        for target in service.targets)
        placed = tuple(
            (target.name, _host(target.address)) for target in targets)
        with self._lock:
            self._targets = targets
            # The scheduler forgets marks of targets that it does not know.
            self._leaving &= {target.name for target in targets}
            self._apply(
                leaving.VmsAssigned(placed),
                leaving.InventoryRead(configuration.revision,
                                      configuration.leaving))

    def apply_vm_list(self, vms: collections.abc.Iterable[vm_list.Vm],
                   age_s: float) -> frozenset[str]:
        """Takes the platform's list, measured `age_s` seconds ago.

        Returns:
            The targets that leave by this list and did not before.
        """
        names = tuple(_host(vm.address) for vm in vms if vm.is_leaving)
        with self._lock:
            before = self._leaving
            self._apply(leaving.VmsListed(names, age_s))
            return self._leaving - before

    def apply_reclaim_notice(self, target: str) -> None:
        """Takes a notice that a target will be taken back."""
        with self._lock:
            self._apply(leaving.ReclaimNoticed(target))

    def apply_drain_refusal(self, target: str, incarnation: str | None) -> None:
        """Takes a target's own word that it is draining."""
        with self._lock:
            self._apply(leaving.DrainRefused(target, incarnation))

    def record_incarnation(self, target: str, incarnation: str) -> None:
        """Takes the incarnation that a target reported."""
        with self._lock:
            self._apply(leaving.IncarnationSeen(target, incarnation))

    def _apply(self, *received: leaving.Event) -> None:
        now_s = time.monotonic()
        for event in received:
            self._state, _ = leaving.step(self._state, event, now_s)
        found = frozenset(target.name
                          for target in self._targets
                          if leaving.is_leaving(self._state, target.name))
        for name in sorted(found - self._leaving):
            self._send(events.TargetLeaving(name))
        for name in sorted(self._leaving - found):
            self._send(events.TargetReturned(name))
        self._leaving = found


def _host(address: str) -> str:
    return address.rpartition(":")[0] or address
