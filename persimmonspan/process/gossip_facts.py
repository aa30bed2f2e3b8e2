"""Facts that daemons share and that expire: quarantines and leaving targets.

Each fact has a version; of two statements the higher version holds, at equal
versions the one with more crashes. A statement is new to a daemon at most once,
which ends a flood. The time to live is relative, and hearing a known fact again
does not extend it.
"""

import typing
import zlib

import immutables

from persimmonspan.connection import peer_messages

# A lift outlives the quarantine statements that may still be on their way.
LIFT_TTL_S = 600.0
# A fact this close to its end is not told any more.
_MIN_TTL_S = 1.0

FactMessage = peer_messages.Quarantine | peer_messages.Leaving


class Fact(typing.NamedTuple):
    """A message as heard and the time at which it expires."""

    message: FactMessage
    expires_s: float


Facts = immutables.Map[str, Fact]


def merge(facts: Facts, message: FactMessage, now_s: float) -> Facts | None:
    """Returns the facts with the message, or None if it is nothing new."""
    recorded = facts.get(_key(message))
    if message.ttl_s <= 0 or (recorded is not None and
                              _rank(message) <= _rank(recorded.message)):
        return None
    return facts.set(_key(message), Fact(message, now_s + message.ttl_s))


def is_recorded(facts: Facts, message: FactMessage) -> bool:
    """Returns whether a target's leaving or return was said already.

    Each daemon that sees a target leave says so.
    """
    recorded = facts.get(_key(message))
    return (recorded is not None and
            isinstance(message, peer_messages.Leaving) and
            _rank(recorded.message)[1] == int(message.is_leaving))


def next_version(facts: Facts, message: FactMessage) -> int:
    """Returns the version of a new statement on the same thing."""
    recorded = facts.get(_key(message))
    return 1 if recorded is None else _rank(recorded.message)[0] + 1


def expire(facts: Facts, now_s: float) -> Facts:
    """Returns the facts without those that expired."""
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
    """Returns a hash of all facts without their times."""
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
