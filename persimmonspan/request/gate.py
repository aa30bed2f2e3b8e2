"""Enforces the limits of workspaces for all worker threads of a daemon."""

import collections.abc
import contextlib
import threading
import time

from persimmonspan import errors
from persimmonspan.process import metrics
from persimmonspan.request import limits
from persimmonspan.version import model


class Gate:
    """Enforces the limits of all workspaces in one process.

    Each daemon counts only its own requests: with n daemons behind the load
    balancer, a workspace can reach n times its rate and concurrency.
    """

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._state = limits.State()
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def admit(self, workspace: model.Workspace, prompt_tokens: int,
              output_tokens: int) -> collections.abc.Iterator[None]:
        """Counts a request of a workspace as running while the block runs.

        Raises:
            errors.RefusalError: The request exceeds a limit.
        """
        command = self._step(
            limits.Requested(workspace.name, workspace.limits, prompt_tokens,
                             output_tokens))[0]
        if isinstance(command, limits.Reject):
            self._metrics.count(f"limit_{command.reason}")
            raise errors.RefusalError(
                errors.Code.LIMIT_EXCEEDED,
                f'workspace "{workspace.name}" exceeds its limit of '
                f"{command.reason.replace('_', ' ')}", command.retry_after_s)
        try:
            yield
        finally:
            self._step(limits.Ended(workspace.name))

    def _step(self, event: limits.Event) -> tuple[limits.Command, ...]:
        with self._lock:
            self._state, commands = limits.step(self._state, event,
                                                time.monotonic(), None)
        return commands
