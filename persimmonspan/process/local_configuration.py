"""Configuration of a daemon that runs without a table service.

The daemon reads the documents from files at startup. They cannot be changed,
because no store would keep the change. This mode is for a first trial on one
VM.
"""

from persimmonspan import errors
from persimmonspan.process import operations


class LocalConfigurations:
    """Serves documents from files and refuses every change."""

    def __init__(self, documents: operations.Documents) -> None:
        self._documents = documents

    def documents(self) -> operations.Documents | None:
        """Returns the documents in force."""
        return self._documents

    def commit(self, proposed: operations.Documents, actor: str,
               is_dry_run: bool) -> operations.CommitDocument:
        """Refuses the change.

        Raises:
            errors.RefusalError: Always.
        """
        raise _make_no_store_error()

    def audit(self, after_revision: int) -> list[operations.AuditDocument]:
        """Returns no changes."""
        del after_revision
        return []

    def store_state(self) -> str:
        """Returns `none`."""
        return "none"


class LocalOutcomes:
    """Outcomes of a daemon without a table service; there are none."""

    def list_unknown(self,
                     workspace: str | None) -> list[operations.OutcomeDocument]:
        """Returns no outcomes."""
        del workspace
        return []

    def settle(self, workspace: str, key: str,
               finding: operations.Finding) -> None:
        """Refuses the settlement.

        Raises:
            errors.RefusalError: Always.
        """
        raise _make_no_store_error()


def _make_no_store_error() -> errors.RefusalError:
    return errors.RefusalError(errors.Code.STORE_UNAVAILABLE,
                               "this daemon runs without a table service")
