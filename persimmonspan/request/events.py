"""Events and commands of the request scheduler.

Worker threads and actors turn what they observe into events; the scheduler
answers with commands that they carry out. All values are immutable, so that a
recorded sequence of events replays to the same commands.

Times named `*_s` are seconds; `deadline_s` is a point on the monotonic clock of
the daemon.

See Also:
    `persimmonspan.request.scheduler`: the decision that consumes the events.
"""

import enum
import math
import typing

from persimmonspan import errors


class Outcome(enum.StrEnum):
    """How one attempt on one target ended."""

    COMPLETED = "completed"
    REFUSED = "refused"  # The target confirmed that it did not run it.
    CONNECT_FAILED = "connect_failed"  # No byte of the request was sent.
    FAILED_BEFORE_FIRST_TOKEN = "failed_before_first_token"
    FAILED_AFTER_FIRST_TOKEN = "failed_after_first_token"
    CANCELLED = "cancelled"
    ANSWERED_ERROR = "answered_error"  # The target answered that it failed.
    # The answer broke off or did not come; says nothing of the request itself.
    INTERRUPTED = "interrupted"


class Target(typing.NamedTuple):
    """A replica that requests can be sent to."""

    name: str
    service: str
    address: str
    failure_domain: str
    kv_capacity_tokens: int = 0  # Zero for plain services.
    max_running: int = 64


class KindPolicy(typing.NamedTuple):
    """What the configuration says of one request kind."""

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
    prefix_hashes: tuple[int, ...] = ()
    is_idempotent: bool = True
    idempotency_key: str = ""  # As given by the caller; empty without one.
    max_attempts: int = 3
    is_resumable: bool = False  # A stream may go on at another target.
    wants_backup: bool = False  # A copy of its memory is kept elsewhere.
    priority: int | None = None  # For the target; by its class if None.
    latest_start_s: float = math.inf  # It is refused rather than start later.


class FirstToken(typing.NamedTuple):
    """The first token of a generation came from the target."""

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


class RequestMoved(typing.NamedTuple):
    """A running request goes on at another target, where its copy lies."""

    request_id: str
    target: str  # The new one.


class MoveFailed(typing.NamedTuple):
    """A running request could not be moved to a target, which has no room."""

    request_id: str
    evacuation_target: str


class RequestAbandoned(typing.NamedTuple):
    """The caller left."""

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
    """What one daemon has outstanding on one target.

    `predicted_tokens` is the expected peak of KV memory. `profile_tokens` is
    the expected KV memory at each horizon of `load_view.HORIZONS_TOKENS`, and
    `deviation_tokens` its largest standard deviation.
    """

    target: str
    outstanding: int
    predicted_tokens: int
    profile_tokens: tuple[int, ...] = ()
    deviation_tokens: int = 0
    copy_tokens: int = 0  # Of requests that run elsewhere.
    prefill_tokens: int = 0  # Of prompts that are still to be read.


class Demand(typing.NamedTuple):
    """Requests of a service that a daemon places."""

    service: str
    starts_per_s: float
    waiting: int


class PeerLoad(typing.NamedTuple):
    """A peer daemon told what it has outstanding."""

    daemon: str
    loads: tuple[TargetLoad, ...]
    demands: tuple[Demand, ...] = ()
    is_sum: bool = False  # Of several daemons, told at an interval.


class TargetsChanged(typing.NamedTuple):
    """A configuration version was adopted."""

    revision: int
    targets: tuple[Target, ...]
    kinds: tuple[KindPolicy, ...]
    workspaces: tuple[WorkspaceShare, ...]
    daemon: str = ""  # Name of this daemon, for its subset of targets.
    digest_interval_s: float = 1.0  # Time between two messages of a peer.


class TargetLeaving(typing.NamedTuple):
    """A target is leaving: no new work, running work finishes."""

    target: str


class TargetReturned(typing.NamedTuple):
    """A target that was leaving takes new work again."""

    target: str


class TargetDied(typing.NamedTuple):
    """A target's process died (connection refused or a new incarnation)."""

    target: str


class CacheEvent(typing.NamedTuple):
    """Prefix-cache changes of an engine, numbered without gaps by it."""

    target: str
    sequence: int
    added: tuple[int, ...]
    removed: tuple[int, ...]


class QuarantineShared(typing.NamedTuple):
    """A peer reports a fingerprint that crashed targets.

    `isolated_on` names the target that the peer keeps free to try it alone;
    `died_on` names the first target that it crashed, once it is condemned.
    """

    fingerprint: str
    crashes: int
    ttl_s: float
    isolated_on: str = ""
    died_on: str = ""


class QuarantineLifted(typing.NamedTuple):
    """An operator lifted the quarantine of a fingerprint."""

    fingerprint: str


class RetryLimitsChanged(typing.NamedTuple):
    """The size of the retry budgets changed; see `retry.Limits`."""

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


class Evacuate(typing.NamedTuple):
    """Have a running request copied to a target, as its own one leaves."""

    request_id: str
    target: str  # That is to keep the copy.


class AssignBackup(typing.NamedTuple):
    """Replies to `RequestMoved` with the next backup target, if any."""

    request_id: str
    backup: str | None


class Refuse(typing.NamedTuple):
    """End the request with an error."""

    request_id: str
    reason: errors.Code
    retry_after_s: float | None
    run_state: errors.RunState


class CancelAttempt(typing.NamedTuple):
    """Cancel the attempt at the target."""

    request_id: str
    target: str


class ShareQuarantine(typing.NamedTuple):
    """Tell peers about a fingerprint, as `QuarantineShared` reports it."""

    fingerprint: str
    crashes: int
    ttl_s: float
    isolated_on: str = ""
    died_on: str = ""


class Count(typing.NamedTuple):
    """Raise the counter of a refusal, retry or health reason."""

    reason: str


Event = (Arrived | FirstToken | Progressed | AttemptEnded | RequestMoved |
         MoveFailed | RequestAbandoned | LoadReported | PeerLoad |
         TargetsChanged | TargetLeaving | TargetReturned | TargetDied |
         CacheEvent | QuarantineShared | QuarantineLifted | RetryLimitsChanged |
         Tick)
Command = (Dispatch | Evacuate | AssignBackup | Refuse | CancelAttempt |
           ShareQuarantine | Count)
