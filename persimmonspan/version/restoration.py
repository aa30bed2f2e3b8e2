"""Restoration of a revision that the store has lost.

The rows are the same as those of a commit, except that the audit row names no
operator: who made the change is lost. Head, change and audit row are written in
one transaction that applies only if the head has not changed, so that one of
the daemons that hold the revision restores it.

See Also:
    `persimmonspan.version.adoption`: finds that a revision is lost.
"""

import hashlib

import msgspec

from persimmonspan.version import commit
from persimmonspan.version import difference

_OPERATOR = "restored"
_REASON = "the store returned from an older copy"


def plan(head: commit.Head, revision: int, document: difference.Json,
         base: difference.Json, era: int) -> commit.Transact:
    """Returns the transaction that writes back a revision the store has lost.

    All daemons write the same rows, except for the time and the era.

    Args:
        head: The older head.
        revision: Revision to restore.
        document: Its document.
        base: Document of the older head, empty if there is none.
        era: Era of the store.
    """
    encoded = msgspec.json.encode(document, order="sorted")
    commit_id = f"{_OPERATOR}-{hashlib.sha256(encoded).hexdigest()[:16]}"
    name = f"config/{revision}-{commit_id}"
    return commit.Transact(
        head.version,
        commit.HeadDocument(revision=revision,
                            document_name=name,
                            commit_id=commit_id,
                            era=era),
        commit.ChangeDocument(revision=revision,
                              base_revision=head.revision,
                              document_name=name,
                              commit_id=commit_id,
                              edits=difference.compute_edits(base, document)),
        commit.AuditDocument(revision=revision,
                             base_revision=head.revision,
                             operator=_OPERATOR,
                             reason=_REASON,
                             at_s=0.0,
                             commit_id=commit_id))
