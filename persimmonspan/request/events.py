"""Events and commands of the request scheduler.

Worker threads and actors turn their observations into events. The scheduler
returns commands, which they execute. All values are immutable, so that
replaying a recorded sequence of events gives the same commands.

Times named `*_s` are in seconds; `deadline_s` is a time on the monotonic clock
of the daemon.

See Also:
    `persimmonspan.request.scheduler`: handles the events.
"""

import enum
import math
import typing

from persimmonspan import errors


class Outcome(enum.StrEnum):
    """How one attempt on one target ended."""

    COMPLETED = "completed"
    REFUSED = "refused"  # The target confirmed that the request did not run.
    CONNECT_FAILED = "connect_failed"  # No byte of the request was sent.
    FAILED_BEFORE_FIRST_TOKEN = "failed_before_first_token"
    FAILED_AFTER_FIRST_TOKEN = "failed_after_first_token"
    CANCELLED = "cancelled"
    ANSWERED_ERROR = "answered_error"  # The target sent an error response.
    # The response is incomplete or missing; the request need not be the cause.
    INTERRUPTED = "interrupted"
    TARGET_CLOSED = "target_closed"  # Before the request was sent.


class Target(typing.NamedTuple):
    """A replica that requests can be sent to."""

    name: str
    service: str
    address: str
    failure_domain: str
    kv_capacity_tokens: int = 0  # Zero for plain services.
    max_running: int = 64
    incarnation: int = 0  # Zero if it is not known.
    software_version: str = ""  # Empty if it is not known.


class KindPolicy(typing.NamedTuple):
    """Configured properties of a request kind."""

    name: str
    service: str
    worth: float
    is_short: bool
    is_idempotent: bool
    deadline_s: float


class WorkspaceShare(typing.NamedTuple):
    """Weight of a workspace in fair sharing."""

    name: str
    share: float


class Arrived(typing.NamedTuple):
    """A caller's request passed authentication and limits."""

    request_id: str
    workspace: str
    kind: str
    service: str
    prompt_tokens: int
    max_output_tokens: int
    deadline_s: float
    fingerprint: str
    part_fingerprints: tuple[str, ...] = ()  # Of what other prompts share.
    is_idempotent: bool = True
    idempotency_key: str = ""  # Set by the caller, else empty.
    max_attempts: int = 3
    is_resumable: bool = False  # Another target may continue its stream.
    wants_backup: bool = False  # Another target keeps a copy of its memory.
    priority: int | None = None  # For the target; None: by its class.
    latest_start_s: float = math.inf  # Refused if not started by then.
    software_version: str = ""  # Of the targets that may run it, if not empty.
    # From the arrival to the first event; infinite if there is no objective.
    latency_objective_s: float = math.inf
    may_hedge: bool = False  # It may run at two targets at the same time.


class FirstToken(typing.NamedTuple):
    """The target sent the first token of a generation."""

    request_id: str
    target: str


class Progressed(typing.NamedTuple):
    """Total tokens received so far; sent at most every 0.25 s per stream."""

    request_id: str
    target: str
    tokens: int


class AttemptEnded(typing.NamedTuple):
    """An attempt on a target ended."""

    request_id: str
    target: str
    outcome: Outcome
    tokens: int = 0


class HedgeDue(typing.NamedTuple):
    """The first attempt has run for the delay named in its dispatch."""

    request_id: str
    target: str  # Of the first attempt.


class StopBegan(typing.NamedTuple):
    """A planned stop of this daemon began; it ends what runs at `cut_s`."""

    cut_s: float


class HedgeLimitsChanged(typing.NamedTuple):
    """The limits of hedged requests changed; see `hedging.set_limits`."""

    share: float
    max_budget: float


class RequestMoved(typing.NamedTuple):
    """A running request continues on the target that holds its copy."""

    request_id: str
    target: str  # The new target.


class MoveFailed(typing.NamedTuple):
    """A running request was not moved because the target has no room."""

    request_id: str
    evacuation_target: str


class RequestAbandoned(typing.NamedTuple):
    """The caller disconnected."""

    request_id: str


class LoadReported(typing.NamedTuple):
    """A target reported its load, measured `age_s` ago."""

    target: str
    age_s: float
    kv_used_tokens: int
    kv_capacity_tokens: int
    running: int
    waiting: int
    preemptions: int


class TargetLoad(typing.NamedTuple):
    """Outstanding requests of one daemon on one target.

    `predicted_tokens` is the expected peak of KV memory. `profile_tokens` is
    the expected KV memory at each horizon of `load_view.HORIZONS_TOKENS`, and
    `deviation_tokens` its largest standard deviation.
    """

    target: str
    outstanding: int
    predicted_tokens: int
    profile_tokens: tuple[int, ...] = ()
    deviation_tokens: int = 0
    copy_tokens: int = 0  # Copies of requests that run elsewhere.
    prefill_tokens: int = 0  # Of prompts not yet prefilled.


class Demand(typing.NamedTuple):
    """Rate of dispatches and backlog of a daemon's requests to a service."""

    service: str
    starts_per_s: float
    waiting: int


class TargetSpeed(typing.NamedTuple):
    """Shortest recent time per token of an incarnation of a target."""

    target: str
    interval_us: int
    incarnation: int = 0


class PeerLoad(typing.NamedTuple):
    """A peer daemon reported its outstanding requests."""

    daemon: str
    loads: tuple[TargetLoad, ...]
    demands: tuple[Demand, ...] = ()
    is_sum: bool = False  # Sum of several daemons, sent periodically.
    speeds: tuple[TargetSpeed, ...] = ()  # Measured by the peers.


class PeerStarted(typing.NamedTuple):
    """A peer started a request at an engine, told before its next digest."""

    target: str
    prefill_tokens: int
    age_s: float = 0.0


class TargetsChanged(typing.NamedTuple):
    """A configuration version was adopted."""

    revision: int
    targets: tuple[Target, ...]
    kinds: tuple[KindPolicy, ...]
    workspaces: tuple[WorkspaceShare, ...]
    daemon: str = ""  # This daemon; selects its subset of targets.
    digest_interval_s: float = 1.0  # Between two digests of a peer.
    # Targets that leave; they are not listed, but may still run requests.
    leaving: frozenset[str] = frozenset()
    # Failure domains whose targets are listed, but get no new requests.
    evacuated: frozenset[str] = frozenset()


class TargetLeaving(typing.NamedTuple):
    """A target is leaving: it gets no new requests, running ones finish."""

    target: str


class TargetReturned(typing.NamedTuple):
    """A target that was leaving accepts new requests again."""

    target: str


class TargetDied(typing.NamedTuple):
    """A target's process died (connection refused or a new incarnation)."""

    target: str


class TargetLost(typing.NamedTuple):
    """A target's process ended some time ago, as its entry tells.

    What it ran was silent until then.
    """

    target: str


class RateNamed(typing.NamedTuple):
    """A target named a rate of requests in an answer, or named none (None)."""

    target: str
    per_s: float | None  # From all daemons together.
    age_s: float = 0.0


class TargetClosed(typing.NamedTuple):
    """A target turned a request away and wants none for a time."""

    target: str
    pause_s: float


class TargetOpened(typing.NamedTuple):
    """The pause of a target ended, or the target started again."""

    target: str


class TargetCold(typing.NamedTuple):
    """A target is cold for a time, or warm (zero)."""

    target: str
    per_s: float  # Sustained while it is cold, from all daemons together.
    cold_s: float


class ColdSharesChanged(typing.NamedTuple):
    """What divides the rate of cold targets changed.

    `is_complete` says whether `daemons` are all daemons, as far as the store
    knows. The limits are those of `cold_targets.Limits`.
    """

    daemon: str
    daemons: tuple[str, ...]
    is_complete: bool
    overrun: float
    tolerance: float


class DaemonsChanged(typing.NamedTuple):
    """Other daemons joined or left; `daemons` includes this one."""

    daemon: str
    daemons: tuple[str, ...]


class TargetAlive(typing.NamedTuple):
    """A target that broke off a response accepts new connections."""

    target: str


class QuarantineShared(typing.NamedTuple):
    """A peer reports a fingerprint that crashed targets; none: it is cleared.

    `ttl_s` is the time for which the refusal, or else the suspicion, holds.
    `requests` are the fingerprints of the requests whose crashes were counted.
    """

    fingerprint: str
    crashes: int
    ttl_s: float
    crashes_alone: int = 0
    requests: tuple[str, ...] = ()
    is_refused: bool = False


class QuarantineLifted(typing.NamedTuple):
    """An operator lifted the quarantine of a fingerprint."""

    fingerprint: str


class RetryLimitsChanged(typing.NamedTuple):
    """The limits of the retry budgets changed; see `retry.Limits`."""

    deposit: float
    cap: float


class Tick(typing.NamedTuple):
    """Time passed; sent about every 50 ms."""


class Dispatch(typing.NamedTuple):
    """Send the request to the target.

    An engine runs lower numbers of `priority` first.
    """

    request_id: str
    target: str
    priority: int
    attempt: int
    is_hedge: bool = False
    backup: str | None = None  # Target that keeps a copy of its memory.
    # Time after which `HedgeDue` is to be sent; None: never.
    hedge_after_s: float | None = None


class Evacuate(typing.NamedTuple):
    """Copy a running request to another target because its target leaves."""

    request_id: str
    target: str  # Receives the copy.


class AssignBackup(typing.NamedTuple):
    """Set the next backup target, if any, in reply to `RequestMoved`."""

    request_id: str
    backup: str | None


class Refuse(typing.NamedTuple):
    """End the request with an error response."""

    request_id: str
    reason: errors.Code
    retry_after_s: float | None
    run_state: errors.RunState
    fingerprint: str = ""  # The quarantined one, if that is the reason.


class CancelAttempt(typing.NamedTuple):
    """Cancel the attempt at the target."""

    request_id: str
    target: str


class ShareQuarantine(typing.NamedTuple):
    """Send peers a fingerprint, which they receive as `QuarantineShared`."""

    fingerprint: str
    crashes: int
    ttl_s: float
    crashes_alone: int = 0
    requests: tuple[str, ...] = ()
    is_refused: bool = False


class TargetClassified(typing.NamedTuple):
    """The speed class of a target changed; operators see it in the log."""

    target: str
    speed_class: str
    interval_us: int  # Time per token; 0 if it is not known any more.


class Count(typing.NamedTuple):
    """Increment the counter of a refusal, retry or health reason."""

    reason: str


Event = (Arrived | PeerStarted | FirstToken | Progressed | AttemptEnded |
         HedgeDue | HedgeLimitsChanged | RequestMoved | MoveFailed |
         RequestAbandoned | LoadReported | PeerLoad | TargetsChanged |
         TargetLeaving | TargetReturned | TargetDied | TargetLost |
         TargetAlive | RateNamed | TargetClosed | TargetOpened | TargetCold |
         ColdSharesChanged | DaemonsChanged | StopBegan | QuarantineShared |
         QuarantineLifted | RetryLimitsChanged | Tick)
Command = (Dispatch | Evacuate | AssignBackup | Refuse | CancelAttempt |
           ShareQuarantine | TargetClassified | Count)
