"""Facts that daemons share and that expire: quarantines and leaving targets.

Each fact has a version. Of two statements on the same key the higher version
holds; at equal versions a quarantine with more crashes, or a leaving target
over a returned one. Merging accepts a statement at most once, which ends a
flood. The time to live is relative, and receiving a recorded fact again does
not extend it.
"""

import typing
import zlib

import immutables

from persimmonspan.connection import peer_messages

# A lift must outlive quarantine statements that are still in transit.
LIFT_TTL_S = 600.0
# Facts that expire sooner than this are not sent in repairs.
_MIN_TTL_S = 1.0

FactMessage = peer_messages.Quarantine | peer_messages.LeavingNotice


class Fact(typing.NamedTuple):
    """A message as received or published, and when it expires."""

    message: FactMessage
    expires_s: float


Facts = immutables.Map[str, Fact]


def merge(facts: Facts, message: FactMessage, now_s: float) -> Facts | None:
    """Returns the facts with the message merged, or None if it is not new."""
    recorded = facts.get(_key(message))
    if message.ttl_s <= 0 or (recorded is not None and
                              _rank(message) <= _rank(recorded.message)):
        return None
    return facts.set(_key(message), Fact(message, now_s + message.ttl_s))


def is_recorded(facts: Facts, message: FactMessage) -> bool:
    """Returns whether the facts already hold this leaving or return.

    Every daemon that sees a target leave publishes it, so that all but the
    first publication repeat a recorded fact.
    """
    recorded = facts.get(_key(message))
    return (recorded is not None and
            isinstance(message, peer_messages.LeavingNotice) and
            _rank(recorded.message)[1] == int(message.is_leaving))


def next_version(facts: Facts, message: FactMessage) -> int:
    """Returns the version for a new statement on the message's key."""
    recorded = facts.get(_key(message))
    return 1 if recorded is None else _rank(recorded.message)[0] + 1


def expire(facts: Facts, now_s: float) -> Facts:
    """Returns the facts that have not expired."""
    expired = [key for key, fact in facts.items() if fact.expires_s <= now_s]
    for key in expired:
        facts = facts.delete(key)
    return facts


def select_repair_facts(facts: Facts, now_s: float,
                        limit: int) -> list[FactMessage]:
    """Returns the `limit` facts that expire last, with remaining lifetimes."""
    newest = sorted(facts.values(), key=lambda fact: -fact.expires_s)[:limit]
    return [
        fact.message._replace(ttl_s=fact.expires_s - now_s)
        for fact in newest
        if fact.expires_s - now_s > _MIN_TTL_S
    ]


def digest(facts: Facts) -> int:
    """Returns a hash of all facts that ignores their expiry times."""
    return zlib.crc32("\n".join(
        sorted(f"{key} {_rank(fact.message)}"
               for key, fact in facts.items())).encode())


def _key(message: FactMessage) -> str:
    if isinstance(message, peer_messages.Quarantine):
        return "q/" + message.fingerprint
    return "l/" + message.target


def _rank(message: FactMessage) -> tuple[int, int]:
    if isinstance(message, peer_messages.Quarantine):
        return message.version, message.crashes
    return message.version, int(message.is_leaving)
