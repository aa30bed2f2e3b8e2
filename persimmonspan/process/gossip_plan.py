"""Which daemons are linked, and which loads fit into a digest.

Within a failure domain every pair of daemons has a link; a small system is one
mesh. Between two failure domains there are `LINKS_PER_DOMAIN_PAIR` links, whose
ends are chosen by rendezvous hashing over the daemons that are heard, so that
all daemons come to the same choice and a lost daemon moves its links only.

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
# A silent failure domain is tried at other daemons this often.
_RETRY_EPOCH_S = 10.0
_HASH_BYTES = 8
# Bytes of a load besides name and profile: heads of arrays and string, and
# three numbers; a number takes at most five bytes.
_LOAD_OVERHEAD_BYTES = 18
_NUMBER_BYTES = 5


class Plan(typing.NamedTuple):
    """Links that a daemon wants.

    Attributes:
        mates: Daemons that get digests.
        dialed: Daemons of other failure domains that this daemon connects to.
        is_mesh: Whether the system is small enough for one mesh.
    """

    mates: frozenset[str]
    dialed: frozenset[str]
    is_mesh: bool


class ReportedLoad(typing.NamedTuple):
    """The load of a target as last told, and the round."""

    load: events.TargetLoad
    round_number: int


def make_plan(state: membership.State, now_s: float, mesh_limit: int) -> Plan:
    """Returns the links that the own daemon wants now."""
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
    """Returns the hash that names a set of (daemon, incarnation) pairs."""
    text = "\n".join(f"{daemon} {number}" for daemon, number in sorted(pairs))
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest())


def choose_loads(
    loads: immutables.Map[str, events.TargetLoad],
    reported: immutables.Map[str,
                             ReportedLoad], round_number: int, limit_bytes: int
) -> tuple[tuple[events.TargetLoad, ...], immutables.Map[str, ReportedLoad]]:
    """Returns the loads that fit, those that changed most first.

    Loads that did not change follow in order of the round in which they were
    last told, so that a peer that missed some hears all of them again.
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
    """Returns the loads of a peer with those it told now."""
    for load in loads:
        if load.outstanding > 0:
            recorded = recorded.set(load.target, load)
        elif load.target in recorded:
            recorded = recorded.delete(load.target)
    return recorded
