"""Exceptions with stable codes.

Each error that a caller or an operator can see carries a code, which is part of
the public interface, and a `RunState`, which says whether the request was run.
A caller may repeat a request whose run state is `NOT_RUN`; it must not repeat a
non-idempotent request whose run state is `UNKNOWN`.

>>> error = RefusalError(Code.OVERLOADED, "no target can meet the deadline")
>>> error.code.value, error.run_state.value, error.status
('overloaded', 'not_run', 503)
"""

import enum


class RunState(enum.StrEnum):
    """Whether a request was run by a target."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(enum.StrEnum):
    """Stable error codes, shown to callers and counted by reason."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    CONFLICT = "conflict"
    BODY_TOO_LARGE = "body_too_large"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    CONFIG_UNVERIFIED = "config_unverified"
    NO_TARGET = "no_target"
    RETRY_BUDGET_EXHAUSTED = "retry_budget_exhausted"
    TARGET_FAILED = "target_failed"
    STREAM_CUT = "stream_cut"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_THROTTLED = "store_throttled"
    IN_PROGRESS = "in_progress"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


_STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHORIZED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.CONFLICT: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.IN_PROGRESS: 409,
    Code.IDEMPOTENCY_KEY_REUSED: 409,
    Code.BODY_TOO_LARGE: 413,
    Code.QUARANTINED: 422,
    Code.LIMIT_EXCEEDED: 429,
    Code.INTERNAL: 500,
    Code.TARGET_FAILED: 502,
    Code.STREAM_CUT: 502,
    Code.DEADLINE_EXCEEDED: 504,
}
_DEFAULT_STATUS = 503


class PersimmonspanError(Exception):
    """Base of all errors of this package.

    Attributes:
        code: Stable code of the error.
        run_state: Whether the request was run.
        retry_after_s: Seconds after which the caller may repeat the request,
            or None.
    """

    def __init__(self,
                 code: Code,
                 message: str,
                 run_state: RunState = RunState.UNKNOWN,
                 retry_after_s: float | None = None) -> None:
        super().__init__(message)
        self.code = code
        self.run_state = run_state
        self.retry_after_s = retry_after_s

    @property
    def status(self) -> int:
        """HTTP status of a response that reports this error."""
        return _STATUS_BY_CODE.get(self.code, _DEFAULT_STATUS)


class RefusalError(PersimmonspanError):
    """A request was refused before any byte of it was sent to a target."""

    def __init__(self,
                 code: Code,
                 message: str,
                 retry_after_s: float | None = None) -> None:
        super().__init__(code, message, RunState.NOT_RUN, retry_after_s)


class TargetError(PersimmonspanError):
    """A target failed or violated its protocol."""


class StoreError(PersimmonspanError):
    """The platform's table service or object store failed."""


class ConfigurationError(PersimmonspanError):
    """Settings, an inventory or rules are not valid."""
