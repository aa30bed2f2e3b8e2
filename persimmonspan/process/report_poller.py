"""Polls the load reports of targets at a limited rate.

Each report costs processor time and bytes, and control traffic has a fixed
budget. The poller therefore sends at most `POLLS_PER_S` polls per second,
whatever the number of targets: with more targets, each is polled less often,
and the scheduler trusts the older reports less. A target is reported as dead,
once per death, if its incarnation changes, if it refuses connections after it
has responded, or if it does not respond to several polls in a row. A target
that broke off a response is polled at once.

See Also:
    `persimmonspan.process.load_view`: weights reports by their age.
"""

import collections.abc
import concurrent.futures

import threading
import typing

from persimmonspan import errors
from persimmonspan.connection import engine
from persimmonspan.request import events

POLLS_PER_S = 10.0
_ROUND_INTERVAL_S = 1.0
_POLL_TIMEOUT_S = 1.0
# Polls in a row without a response after which a target counts as dead. A
# single timeout may come from a slow target or a broken connection.
_DEAD_AFTER_SILENT_POLLS = 3
_WORKERS = 3

SendEvent = collections.abc.Callable[[events.Event], None]
ReadLoad = collections.abc.Callable[[str, float], engine.LoadDocument]
# Called with a target and one of its incarnations.
RecordIncarnation = collections.abc.Callable[[str, str], None]


class Pauses(typing.Protocol):
    """The pauses of targets; see `persimmonspan.process.target_pauses`."""

    def is_closed(self, target: str) -> bool:
        """Returns whether a target wants no calls now."""

    def record(self, target: str, retry_after_s: float | None,
               source: str) -> None:
        """Closes a target that turned a call away."""


class _TargetRecord(typing.NamedTuple):
    incarnation: str | None  # None: not polled yet.
    is_up: bool
    silent_polls: int = 0


class TargetPoller:
    """Polls single targets and turns their responses into events."""

    def __init__(self, read_load: ReadLoad,
                 record_incarnation: RecordIncarnation,
                 record_leaving: RecordIncarnation, pauses: Pauses) -> None:
        self._read_load = read_load
        self._record_incarnation = record_incarnation
        self._record_leaving = record_leaving
        self._pauses = pauses
        self._records: dict[str, _TargetRecord] = {}

    def record_use(self, target: events.Target) -> None:
        """Records that a target responded to a request, if not to a poll."""
        self._records.setdefault(target.name, _TargetRecord(None, True))

    def poll(self, target: events.Target) -> list[events.Event]:
        """Polls a target and returns the events for the scheduler."""
        if self._pauses.is_closed(target.name):
            return []
        before = self._records.get(target.name)
        try:
            report = self._read_load(target.address, _POLL_TIMEOUT_S)
        except engine.ReportRefusedError as error:
            self._pauses.record(target.name, error.retry_after_s, "report")
            return []
        except errors.TargetError as error:
            if before is None or not before.is_up:
                return []
            silent_polls = before.silent_polls + 1
            is_up = (silent_polls < _DEAD_AFTER_SILENT_POLLS and
                     not isinstance(error, engine.NotSentError))
            self._records[target.name] = before._replace(
                is_up=is_up, silent_polls=silent_polls)
            return [] if is_up else [events.TargetDied(target.name)]
        self._records[target.name] = _TargetRecord(report["incarnation"], True)
        self._record_incarnation(target.name, report["incarnation"])
        if "leaving" in report:
            self._record_leaving(target.name, report["leaving"])
        new_events: list[events.Event] = []
        if (before is not None and before.is_up and
                before.incarnation not in (None, report["incarnation"])):
            new_events.append(events.TargetDied(target.name))
        new_events.append(
            events.LoadReported(target=target.name,
                                age_s=report["measured_age_s"],
                                kv_used_tokens=report["kv_used_tokens"],
                                kv_capacity_tokens=report["kv_capacity_tokens"],
                                running=report["running"],
                                waiting=report["waiting"],
                                preemptions=report["preemptions"]))
        return new_events

    def forget_all_but(self, names: collections.abc.Set[str]) -> None:
        """Drops the records of targets that are not in the set."""
        self._records = {
            name: record
            for name, record in self._records.items()
            if name in names
        }


def interval_s(targets: int) -> float:
    """Returns the mean time between two polls of a target, in seconds.

    >>> interval_s(2), interval_s(30)
    (1.0, 3.0)
    """
    return max(_ROUND_INTERVAL_S, targets / POLLS_PER_S)


class ReportPoller:
    """Polls all targets in rotation, several at the same time."""

    def __init__(self, send: SendEvent, read_load: ReadLoad,
                 record_incarnation: RecordIncarnation,
                 record_leaving: RecordIncarnation, pauses: Pauses) -> None:
        self._send = send
        self._target_poller = TargetPoller(read_load, record_incarnation,
                                           record_leaving, pauses)
        self._targets: tuple[events.Target, ...] = ()
        self._busy_targets: set[str] = set()
        self._stopped = threading.Event()
        self._pool = concurrent.futures.ThreadPoolExecutor(_WORKERS)

    def set_targets(self, targets: tuple[events.Target, ...]) -> None:
        """Replaces the polled targets."""
        self._targets = targets
        self._target_poller.forget_all_but({target.name for target in targets})

    def check(self, target: events.Target) -> None:
        """Polls a target soon that broke off a response."""
        self._target_poller.record_use(target)
        self._submit_polls([target])

    def run(self) -> None:
        """Polls a round of targets every second until `stop` is called."""
        position = 0
        while not self._stopped.wait(_ROUND_INTERVAL_S):
            targets = self._targets
            number = min(len(targets), int(POLLS_PER_S * _ROUND_INTERVAL_S))
            due = [
                targets[(position + i) % len(targets)] for i in range(number)
            ]
            position += number
            # One task per worker polls several targets in turn, because each
            # wakeup of a thread costs as much as a poll.
            for i in range(_WORKERS):
                self._submit_polls(due[i::_WORKERS])

    def stop(self) -> None:
        """Ends `run`."""
        self._stopped.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def _submit_polls(self,
                      targets: collections.abc.Sequence[events.Target]) -> None:
        # A silent target occupies a worker until the timeout. Skipping it
        # keeps the other workers free and the reports of the others recent.
        idle = [item for item in targets if item.name not in self._busy_targets]
        if not idle or self._stopped.is_set():
            return
        self._busy_targets.update(item.name for item in idle)
        self._pool.submit(self._poll_targets, idle)

    def _poll_targets(self,
                      targets: collections.abc.Sequence[events.Target]) -> None:
        for target in targets:
            try:
                for event in self._target_poller.poll(target):
                    self._send(event)
            finally:
                self._busy_targets.discard(target.name)
