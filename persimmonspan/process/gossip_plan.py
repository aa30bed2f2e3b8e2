"""Selects the links of a daemon, and the loads that fit into a digest.

Within a failure domain every pair of daemons has a link; a small system is one
full mesh. Between two failure domains there are `LINKS_PER_DOMAIN_PAIR` links.
Rendezvous hashing over the live daemons selects their ends, so that all daemons
make the same choice and the loss of a daemon moves only its own links.

References:
    Thaler, Ravishankar: "Using name-based mappings to increase hit rates", 1998
    (rendezvous hashing).
"""

import functools
import hashlib
import typing

import immutables

from persimmonspan.process import membership
from persimmonspan.request import events

# Two links keep a pair of failure domains connected when one end dies.
LINKS_PER_DOMAIN_PAIR = 2
# If all daemons of a failure domain are silent, the daemon to dial there is
# chosen anew at this interval.
_RETRY_EPOCH_S = 10.0
_HASH_BYTES = 8
# Encoded size of a load besides name and profile: headers of arrays and string,
# and three numbers. A number takes at most five bytes.
_LOAD_OVERHEAD_BYTES = 18
_NUMBER_BYTES = 5


class Plan(typing.NamedTuple):
    """Links that a daemon should have.

    Attributes:
        mates: Daemons to which this daemon sends digests.
        dialed: Daemons of other failure domains that this daemon connects to.
        is_mesh: Whether the system is small enough for one full mesh.
    """

    mates: frozenset[str]
    dialed: frozenset[str]
    is_mesh: bool


class ReportedLoad(typing.NamedTuple):
    """The last load sent for a target, and the round of that sending."""

    load: events.TargetLoad
    round_number: int


def make_plan(state: membership.State, now_s: float, mesh_limit: int) -> Plan:
    """Returns the links that the own daemon should have now."""
    candidates = [
        member for member in state.members.values()
        if not member.is_silent or member.identity.daemon in state.registered or
        member.identity.daemon in state.vm_listed
    ]
    if len(candidates) < mesh_limit:
        return Plan(frozenset(item.identity.daemon for item in candidates),
                    frozenset(), True)
    own = state.own
    domains: dict[str, list[membership.Member]] = {}
    for member in candidates:
        domains.setdefault(member.identity.failure_domain, []).append(member)
    mates = domains.pop(own.failure_domain, [])
    near = [item.identity.daemon for item in mates if not item.is_silent]
    dialed: set[str] = set()
    for domain, members in domains.items():
        if own.failure_domain < domain:
            dialed |= _choose_link_ends(own, near + [own.daemon], domain,
                                        members, now_s)
    return Plan(frozenset(item.identity.daemon for item in mates),
                frozenset(dialed), False)


def _choose_link_ends(own: membership.Identity, near: list[str], domain: str,
                      members: list[membership.Member],
                      now_s: float) -> set[str]:
    far = [item.identity.daemon for item in members if not item.is_silent]
    epoch = 0
    if not far:
        far = [item.identity.daemon for item in members]
        epoch = 1 + int(now_s / _RETRY_EPOCH_S)
    ends = set()
    for i in range(LINKS_PER_DOMAIN_PAIR):
        salt = f"{own.failure_domain}/{domain}/{i}"
        if max(near, key=lambda name, s=salt: rendezvous_score(s, name)
              ) == own.daemon:
            salt += f"/{epoch}"
            ends.add(
                max(far, key=lambda name, s=salt: rendezvous_score(s, name)))
    return ends


@functools.lru_cache(maxsize=65536)
def rendezvous_score(salt: str, name: str) -> bytes:
    """Returns the rendezvous score of a name."""
    return hashlib.blake2b(f"{salt} {name}".encode(),
                           digest_size=_HASH_BYTES).digest()


def hash_members(pairs: typing.Iterable[tuple[str, int]]) -> int:
    """Returns the hash that identifies a set of (daemon, incarnation) pairs."""
    text = "\n".join(f"{daemon} {number}" for daemon, number in sorted(pairs))
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest())


def choose_loads(
    loads: immutables.Map[str, events.TargetLoad],
    reported: immutables.Map[str,
                             ReportedLoad], round_number: int, limit_bytes: int
) -> tuple[tuple[events.TargetLoad, ...], immutables.Map[str, ReportedLoad]]:
    """Returns the loads that fit into `limit_bytes`, largest changes first.

    Unchanged loads follow, least recently sent first, so that a peer that
    missed a digest receives all loads again. The second result records what
    was sent.
    """

    def urgency(load: events.TargetLoad) -> tuple[int, int]:
        last_reported = reported.get(load.target)
        if last_reported is None:
            return -load.outstanding - 1, 0
        return (-abs(load.outstanding - last_reported.load.outstanding),
                last_reported.round_number)

    chosen = []
    for load in sorted(loads.values(), key=urgency):
        limit_bytes -= (len(load.target) + _LOAD_OVERHEAD_BYTES +
                        _NUMBER_BYTES * len(load.profile_tokens))
        if limit_bytes < 0:
            break
        chosen.append(load)
        reported = reported.set(load.target, ReportedLoad(load, round_number))
    return tuple(chosen), reported


def merge_loads(
    recorded: immutables.Map[str, events.TargetLoad],
    loads: typing.Iterable[events.TargetLoad]
) -> immutables.Map[str, events.TargetLoad]:
    """Returns the recorded loads of a peer, updated with those it sent.

    A load without outstanding requests deletes the entry of its target.
    """
    for load in loads:
        if load.outstanding > 0:
            recorded = recorded.set(load.target, load)
        elif load.target in recorded:
            recorded = recorded.delete(load.target)
    return recorded
