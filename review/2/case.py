"""A request that crashes replicas, while all daemons are killed twice."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins  # pylint: disable=wrong-import-position

_MACHINES = 8  # SYSTEM.md: of elo-nordeste.
_ENGINES = 6  # SYSTEM.md: of elo-nordeste.
_DRAFTS_PER_S = 2.02  # SYSTEM.md: `cotacao-longa`.
_EVENTS = 235  # SYSTEM.md: the mean of `cotacao-longa`.
_EVENT_PAUSE_S = 0.036  # Four tokens, at 9 ms each.
_STABILITY_S = 3.0  # `stabilityMs`
_BACK_S = 3.0  # PROTOCOL.md: "the replica is back after some seconds".
_HEARTBEATS_S = 3.6  # Three heartbeats, after which an entry is removed.
_RESTART_S = 0.5
_SETTLE_S = 10.0  # From the start of all daemons.
_KILLS = 2
_PAUSE_S = 2.0  # Between two arrivals of the request at the daemons.
_MAX_SENT = 16  # In each life of the daemons.
_MAX_RETRIES = 3  # RULES.md: "in more than three retries".


class _Fleet:
    """Engines that a request crashes, and what reached them."""

    def __init__(self, record, store):
        self._record, self._store = record, store
        self._lock = threading.Lock()
        self._names = 0
        self._crashed = set()
        self.crashes_s = []
        self.arrivals_s = []  # Of the request that crashes.
        for _ in range(_ENGINES):
            self._register(standins.Replica("", "engines", self._serve))

    def _register(self, engine):
        with self._lock:
            self._names += 1
            engine.name = f"i-engine-{self._names}"
        self._store.write("servers", engine.name, engine.entry())

    def _serve(self, engine, request):
        if request.body == b"deadly":
            self.arrivals_s.append(time.monotonic())
            self._record.write(f"{engine.name} runs {request.id} and crashes "
                               f"(arrival {len(self.arrivals_s)})")
            time.sleep(0.05)
            threading.Thread(target=self._crash, args=(engine,),
                             daemon=True).start()
            time.sleep(1.0)
            return
        time.sleep(0.3)
        yield standins.stream_begin(request)
        for number in range(1, _EVENTS + 1):
            yield standins.event(number)
            time.sleep(_EVENT_PAUSE_S)
        yield standins.STREAM_END

    def _crash(self, engine):
        with self._lock:
            name = engine.name
            if name in self._crashed:
                return
            self._crashed.add(name)
            self.crashes_s.append(time.monotonic())
        engine.crash()
        time.sleep(_BACK_S)
        engine.start()
        # A start is a new incarnation, mostly with a new id.
        self._register(engine)
        self._record.write(f"{name} is back as {engine.name}")
        time.sleep(_HEARTBEATS_S - _BACK_S)
        self._store.write("servers", name, None)


class _Background:
    """Sound drafts, as many as the sheet says."""

    def __init__(self, record, daemons):
        self._record, self._daemons = record, daemons
        self._is_over = threading.Event()
        self._lock = threading.Lock()
        self.counts = {}

    def start(self):
        """Starts the clients."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        number = 0
        while not self._is_over.wait(1 / _DRAFTS_PER_S):
            number += 1
            threading.Thread(target=self._send, args=(number,),
                             daemon=True).start()

    def _send(self, number):
        daemon = self._daemons[number % len(self._daemons)]
        self._record.write(f"sound-{number} sent to {daemon.name}")
        answer = _draft(daemon, f"sound-{number}", f"sound {number}".encode(),
                        f"{number + 4096:x}")
        outcome = ("whole" if answer.status == 200 and answer.is_whole else
                   "broken off" if answer.status == 200 else
                   "no answer" if answer.status is None else str(answer.status))
        self._record.write(f"sound-{number} at {daemon.name}: {outcome}")
        with self._lock:
            self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def end(self):
        """Ends the clients."""
        self._is_over.set()


def _draft(daemon, attempt, body, part):
    return standins.send(daemon.front,
                         "/draft/a",
                         attempt,
                         body,
                         deadline_ms=39000,
                         headers=("X-Model: m", "X-Token-Usage: 3000,940",
                                  f"X-Prefix-Hash: 5c1e07a2:79,{part}:2921"))


def case(record, folder, has_trouble):
    """Returns whether the request reached replicas in three retries at most."""
    store = standins.Store()
    store.write("op", "config", standins.configuration())
    fleet = _Fleet(record, store)
    daemons = [
        standins.Daemon(f"edge-{number}", f"127.0.1.{number}", store, folder)
        for number in range(1, _MACHINES + 1)
    ]
    background = _Background(record, daemons)
    in_touch_s = []  # When the daemons of each life began to be in touch.
    try:
        _start(daemons)
        background.start()
        for life in range(_KILLS + 1):
            if life:
                _kill_all(record, daemons, has_trouble)
            # A draft takes 9 s: the traffic is at its usual level by then.
            time.sleep(_SETTLE_S)
            in_touch_s.append(time.monotonic() - _SETTLE_S + _STABILITY_S)
            _send_until_refused(record, daemons, life)
        background.end()
    finally:
        for daemon in daemons:
            daemon.kill()
    return _judge(record, fleet, background, in_touch_s)


def _start(daemons):
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        daemon.wait_ready()


def _kill_all(record, daemons, has_trouble):
    if not has_trouble:
        record.write("no daemon is killed")
        return
    record.write("all daemons are killed")
    for daemon in daemons:
        daemon.kill()
    time.sleep(_RESTART_S)
    _start(daemons)
    record.write("all daemons are ready again")


def _send_until_refused(record, daemons, life):
    """Sends the request to one daemon after the other, one at a time.

    It ends when three in a row refused it as not run.
    """
    in_a_row = 0
    for number in range(_MAX_SENT):
        daemon = daemons[number % len(daemons)]
        attempt = f"deadly-{life}-{number}"
        record.write(f"{attempt} sent to {daemon.name}")
        answer = _draft(daemon, attempt, b"deadly", "dead")
        record.write(f"{attempt} at {daemon.name}: status {answer.status}")
        in_a_row = in_a_row + 1 if answer.status == 503 else 0
        if in_a_row == 3:
            return
        time.sleep(_PAUSE_S)
    record.write("the daemons do not refuse it")


def _judge(record, fleet, background, in_touch_s):
    arrivals_s = fleet.arrivals_s
    late = []
    if len(fleet.crashes_s) >= 3:
        late = [
            at_s for at_s in arrivals_s
            if at_s > fleet.crashes_s[2] + _STABILITY_S and at_s > max(
                start_s for start_s in (*in_touch_s, 0.0) if start_s <= at_s)
        ]
    record.write(f"{len(arrivals_s)} arrivals of the request, "
                 f"{len(fleet.crashes_s)} crashes, {len(late)} arrivals by "
                 f"machines in touch over 3 s after the third crash")
    record.write(f"sound drafts: {background.counts}")
    if len(arrivals_s) < 2 or not background.counts.get("whole"):
        raise standins.CannotRun("too few requests were run")
    return len(late) <= _MAX_RETRIES


standins.main(FOLDER, case)
