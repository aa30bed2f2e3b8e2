"""Authenticates operators, checks their roles and generates secrets.

Workspace keys and operator tokens are random strings of 256 bits; only their
SHA-256 is stored. A plain hash suffices, since random keys of that length
cannot be guessed by trying candidates.

A `reader` reads everything and changes nothing. A `workspace_admin` manages the
keys and unknown outcomes of one workspace and reads everything except the
outcomes of other workspaces. An `operator` may do everything.

>>> key, digest = new_secret("key")
>>> digest == digest_of(key)
True
"""

import enum
import hashlib
import secrets
import typing

from persimmonspan import errors
from persimmonspan.version import model

_SECRET_BYTES = 32
_SCHEME = "Bearer "


class Role(enum.StrEnum):
    """Role of an operator."""

    READER = "reader"
    WORKSPACE_ADMIN = "workspace_admin"
    OPERATOR = "operator"


class Principal(typing.NamedTuple):
    """An authenticated operator."""

    name: str
    role: Role
    workspace: str | None = None


def new_secret(prefix: str) -> tuple[str, str]:
    """Returns a new random secret and its digest.

    Args:
        prefix: Start of the secret, which makes a leaked one recognisable.
    """
    secret = f"{prefix}_{secrets.token_urlsafe(_SECRET_BYTES)}"
    return secret, digest_of(secret)


def digest_of(secret: str) -> str:
    """Returns the SHA-256 of a secret in hex."""
    return hashlib.sha256(secret.encode()).hexdigest()


def identify_operator(authorization: str | None,
                      configuration: model.Configuration) -> Principal:
    """Returns the operator that an `Authorization` header authenticates.

    Raises:
        errors.RefusalError: The token is missing or belongs to no operator.
    """
    digest = digest_of((authorization or "").removeprefix(_SCHEME))
    for item in configuration.operators:
        if secrets.compare_digest(digest, item.token_sha256):
            return Principal(item.name, Role(item.role), item.workspace)
    raise errors.RefusalError(errors.Code.UNAUTHORIZED,
                              "the operator token is missing or not known")


def require_operator(principal: Principal) -> None:
    """Checks that the principal may change anything.

    Raises:
        errors.RefusalError: The role does not allow it.
    """
    if principal.role is not Role.OPERATOR:
        raise errors.RefusalError(
            errors.Code.FORBIDDEN,
            f"role {principal.role} may not do this; role operator is required")


def require_workspace(principal: Principal, workspace: str | None) -> None:
    """Checks that the principal may administer the workspace.

    Args:
        principal: The authenticated operator.
        workspace: The workspace, or None for all workspaces.

    Raises:
        errors.RefusalError: The role does not allow it.
    """
    if (principal.role is Role.WORKSPACE_ADMIN and workspace is not None and
            principal.workspace == workspace):
        return
    require_operator(principal)
