"""Emulates a crowd whose engines turn requests away in turns.

    python -m testbed.closing testbed/scenarios/turns.toml --seeds 3

prints, for each way to treat the time that an engine names with a refusal, how
many requests reached closed engines, and what became of the requests. Groups of
engines close one after the other, and once all engines close together.

See Also:
    `persimmonspan.request.target_backoff`: the decision that is measured.
"""

import argparse
import collections
import collections.abc
import enum
import pathlib
import sys
import typing

import msgspec

from persimmonspan.request import events
from persimmonspan.request import target_backoff
from testbed import crowd
from testbed import experiment

_LINK_DELAY_S = 0.02
# A daemon may send two requests in a pause, after this time.
_GRACE_S = 0.5
_MAX_LATE_REQUESTS = 2
_BURST_WINDOW_S = 0.1


class Way(enum.StrEnum):
    """What daemons do with the time that an engine names."""

    IGNORED = "ignored"
    KEPT = "kept"  # By the daemon that was turned away.
    SHARED = "shared"  # By all daemons, from the next digest on.


class Closing(typing.NamedTuple):
    """When engines close: a group every `every_s`, and all at `all_at_s`."""

    every_s: float = 1.0
    together: int = 1
    pause_s: float = 3.0
    all_at_s: float = 15.0


class Figures(typing.NamedTuple):
    """What closed engines received, and what waited for them."""

    turned_away: int
    late: int  # Beyond two in a pause of one daemon, after the grace.
    max_waiting: int  # When an engine opened.
    max_burst: int  # Requests to an engine within 0.1 s of its opening.


class _Turn(typing.NamedTuple):
    began_s: float
    end_s: float


class Emulator(crowd.Emulator):
    """Runs a scenario in which engines close."""

    def __init__(self, scenario: crowd.Scenario, seed: int, closing: Closing,
                 way: Way) -> None:
        super().__init__(scenario, seed)
        self._closing = closing
        self._way = way
        self._turns: dict[str, _Turn] = {}
        self._turned_away = 0
        self._told_s: dict[tuple[int, str], float] = {}
        self._late: collections.Counter[tuple[int, str,
                                              float]] = collections.Counter()
        self._max_waiting = 0
        self._started_s: dict[str, list[float]] = collections.defaultdict(list)
        self._opened_s: list[tuple[str, float]] = []
        self._position = 0

    def measure(self) -> tuple[dict[str, crowd.Outcome], Figures]:
        """Runs the scenario; returns the outcomes by kind and the figures."""
        self._after(self._closing.every_s, self._close_next)
        self._after(self._closing.all_at_s,
                    lambda: self._close(tuple(self._engines)))
        outcomes = self.run()
        late = sum(
            max(0, count - _MAX_LATE_REQUESTS) for count in self._late.values())
        max_burst = max((sum(opened_s <= at_s < opened_s + _BURST_WINDOW_S
                             for at_s in self._started_s[name])
                         for name, opened_s in self._opened_s),
                        default=0)
        return outcomes, Figures(self._turned_away, late, self._max_waiting,
                                 max_burst)

    def _close_next(self) -> None:
        if self._now_s > self._scenario.duration_s:
            return
        self._after(self._closing.every_s, self._close_next)
        names = sorted(self._engines)
        first = self._position % len(names)
        self._position += self._closing.together
        self._close(tuple(names[first:first + self._closing.together]))

    def _close(self, names: tuple[str, ...]) -> None:
        end_s = self._now_s + self._closing.pause_s
        for name in names:
            if self._now_s < self._turns.get(name, _Turn(0.0, 0.0)).end_s:
                continue
            self._turns[name] = _Turn(self._now_s, end_s)
            self._after(self._closing.pause_s,
                        lambda name=name: self._record_opening(name))

    def _record_opening(self, name: str) -> None:
        self._opened_s.append((name, self._now_s))
        self._max_waiting = max(
            self._max_waiting,
            sum(len(state.queue.requests) for state in self._states))

    def _queue_dispatched(self, command: events.Dispatch) -> None:
        item = self._requests.get(command.request_id)
        turn = self._turns.get(command.target, _Turn(0.0, 0.0))
        self._started_s[command.target].append(self._now_s)
        if item is None or self._now_s >= turn.end_s:
            super()._queue_dispatched(command)
            return
        self._turned_away += 1
        pair = (item.daemon, command.target)
        told_s = self._told_s.get(pair, -1.0)
        if turn.began_s <= told_s and self._now_s >= told_s + _GRACE_S:
            self._late[(*pair, turn.began_s)] += 1
        if told_s < turn.began_s:
            self._told_s[pair] = self._now_s + _LINK_DELAY_S
        self._after(_LINK_DELAY_S,
                    lambda: self._turn_away(item.daemon, command, turn.end_s))

    def _turn_away(self, daemon: int, command: events.Dispatch,
                   end_s: float) -> None:
        left_s = end_s - self._now_s
        if left_s > 0 and self._way is not Way.IGNORED:
            self._tell_pause(daemon, command.target, left_s)
        if left_s > 0 and self._way is Way.SHARED:
            delay_s = self._scenario.digest_interval_s + _LINK_DELAY_S
            for peer in range(self._scenario.daemons):
                if peer != daemon and left_s > delay_s:
                    self._after(delay_s,
                                lambda peer=peer: self._tell_pause(
                                    peer, command.target, left_s - delay_s))
        self._send(
            daemon,
            events.AttemptEnded(command.request_id, command.target,
                                events.Outcome.REFUSED))

    def _tell_pause(self, daemon: int, target: str, left_s: float) -> None:
        if target_backoff.is_closed(self._states[daemon].backoff, target,
                                    self._now_s):
            return
        pause_s = target_backoff.draw_pause_s(left_s, self._rng)
        self._send(daemon, events.TargetClosed(target, pause_s))
        self._after(pause_s,
                    lambda: self._send(daemon, events.TargetOpened(target)))


def measure(scenario: crowd.Scenario, closing: Closing, way: Way,
            seed: int) -> tuple[dict[str, crowd.Outcome], Figures]:
    """Runs a scenario with one way; returns outcomes by kind and figures."""
    return Emulator(scenario, seed, closing, way).measure()


def main(arguments: collections.abc.Sequence[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(prog="python -m testbed.closing",
                                     description=__doc__.splitlines()[0])
    parser.add_argument("scenario", type=pathlib.Path, help="a TOML file")
    parser.add_argument("--seeds", type=int, default=3, help="seeds to run")
    parser.add_argument("--pause", type=float, default=3.0)
    parser.add_argument("--together", type=int, default=1)
    options = parser.parse_args(arguments)
    try:
        scenario = experiment.read_scenario(options.scenario)
    except (OSError, msgspec.MsgspecError, TypeError) as error:
        print(f"{options.scenario}: {error}", file=sys.stderr)
        return 2
    closing = Closing(together=options.together, pause_s=options.pause)
    for way in Way:
        runs = [
            measure(scenario, closing, way, seed)
            for seed in range(options.seeds)
        ]
        figures = Figures(
            *(max(column) if position >= 2 else sum(column)
              for position, column in enumerate(zip(
                  *(item for _, item in runs)))))
        print(f"{way:8} turned away {figures.turned_away:6} late "
              f"{figures.late:6} waiting at an opening {figures.max_waiting:5} "
              f"burst {figures.max_burst:4}")
        for kind in scenario.kinds:
            experiment.print_row(way, kind.name,
                                 [outcomes[kind.name] for outcomes, _ in runs])
    return 0


if __name__ == "__main__":
    sys.exit(main())
