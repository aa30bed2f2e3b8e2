"""Configuration of a daemon that runs without a table service.

The documents come from files at the start and cannot be changed, since nothing
would keep the change. Used for a first try on one VM.
"""

from persimmonspan import errors
from persimmonspan.process import operations


class LocalConfigurations:
    """Documents from files; every change is refused."""

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
        raise _without_store()

    def audit(self, after_revision: int) -> list[operations.AuditDocument]:
        """Returns no changes."""
        del after_revision
        return []

    def store_state(self) -> str:
        """Returns `none`."""
        return "none"


class NoOutcomes:
    """The ledger of a daemon without a table service."""

    def list_unknown(self,
                     workspace: str | None) -> list[operations.OutcomeDocument]:
        """Returns no outcomes."""
        del workspace
        return []

    def settle(self, workspace: str, key: str,
               finding: operations.Finding) -> None:
        """Refuses.

        Raises:
            errors.RefusalError: Always.
        """
        raise _without_store()


def _without_store() -> errors.RefusalError:
    return errors.RefusalError(errors.Code.STORE_UNAVAILABLE,
                               "this daemon runs without a table service")
