"""Slopes of control: load reports, gossip, configuration, store and metrics.

Gossip is measured at the decision module, with encoded messages and without
sockets; `bench.gossip` measures whole processes. Bytes of a load report are
those of HTTP on a connection, without TCP/IP headers.
"""

import contextlib
import random
import socket
import threading
import typing

import msgspec

from bench import capacity_fit
from persimmonspan.connection import load_reports
from persimmonspan.connection import peer_messages
from persimmonspan.connection import vm_list
from persimmonspan.process import access
from persimmonspan.process import gossip
from persimmonspan.process import gossip_round
from persimmonspan.process import gossip_state
from persimmonspan.process import membership
from persimmonspan.process import metrics
from persimmonspan.request import events
from persimmonspan.version import model
from testbed import processes

_POLLS = (50, 100, 200)
_MEMBERS = (110, 220, 330)
_FAILURE_DOMAINS = 12
_LOADS = (6, 24, 96)
_PROFILE = (18_000, 19_000, 22_000, 17_000, 9_000, 2_000)
_ROUNDS = 10
_REASONS = (20, 40, 80)
_OPERATORS = (10, 100, 1000)
_VMS = (660, 1315, 2630)
_CALLS = 50
_RECEIVE_BYTES = 65_536
_QUIET_S = 0.5
# Links that were replaced carry on for 10 s.
_WARM_UP_ROUNDS = 25


def measure_load_reports() -> dict[str, typing.Any]:
    """Returns processor time and bytes per poll of an engine process."""
    port = processes.free_port()
    with processes.running("testbed.engine", "--port", str(port), port=port):
        address = f"127.0.0.1:{port}"
        reader = load_reports.LoadReader()
        time_us = capacity_fit.line((
            count, count *
            capacity_fit.microseconds(lambda: reader.read(address, 1.0), count))
                                    for count in _POLLS)
        return {"polls_us": time_us, "bytes": _poll_bytes(port)}


def _poll_bytes(port: int) -> int:
    """Returns the bytes of one poll in both directions, seen on its way."""
    moved = []
    with socket.create_server(("127.0.0.1", 0)) as server:

        def forward() -> None:
            caller, _ = server.accept()
            with caller, socket.create_connection(("127.0.0.1", port)) as far:
                far.settimeout(_QUIET_S)
                data = caller.recv(_RECEIVE_BYTES)
                moved.append(len(data))
                far.sendall(data)
                with contextlib.suppress(TimeoutError, OSError):
                    while data := far.recv(_RECEIVE_BYTES):
                        moved.append(len(data))
                        caller.sendall(data)

        thread = threading.Thread(target=forward)
        thread.start()
        reader = load_reports.LoadReader()
        reader.read(f"127.0.0.1:{server.getsockname()[1]}", 1.0)
        # Closing the kept connection ends the forwarding.
        reader.keep_only(frozenset())
        thread.join()
    return sum(moved)


def _identities(count: int) -> tuple[membership.Identity, ...]:
    return tuple(
        membership.Identity(
            f"daemon-{i:03d}", 1_800_000_000_000 +
            i, f"domain-{i % _FAILURE_DOMAINS:02d}", f"region-{i % 5}",
            f"10.1.{i // 256}.{i % 256}:9443") for i in range(count))


def loads(count: int, change: int = 0) -> tuple[events.TargetLoad, ...]:
    """Returns loads as the scheduler of a busy daemon tells them."""
    return tuple(
        events.TargetLoad(f"quote-model-{i:04d}", 3 +
                          (i + change) % 17, 22_000 + i, _PROFILE, 4_000)
        for i in range(count))


class _Gossip:
    """A daemon's gossip among members that answer each round."""

    def __init__(self, members: int, load_count: int) -> None:
        self.rng = random.Random(1)
        self.now_s = 0.0
        self.bytes_sent = 0
        self.messages_sent = 0
        self._loads = load_count
        own, *others = _identities(members)
        self.state = gossip.make_state(own)
        self._sequence = 0
        self.send(membership.RowsRead((own, *others)))
        self._others = {item.daemon: item for item in others}
        self.round()

    def send(self, event: gossip_state.Event) -> None:
        """Applies an event and counts what is sent for it."""
        self.state, commands = gossip.step(self.state, event, self.now_s,
                                           self.rng)
        for command in commands:
            if isinstance(command, gossip_state.Send):
                size = (len(peer_messages.encode(command.message)) +
                        gossip_round.FRAME_BYTES)
                self.bytes_sent += size * len(command.peers)
                self.messages_sent += len(command.peers)

    def digest(self, peer: str) -> gossip_state.MessageReceived:
        """Returns the next digest of a peer, as large as the own one."""
        self._sequence += 1
        identity = self._others[peer]
        return gossip_state.MessageReceived(
            peer,
            peer_messages.Digest(peer, identity.incarnation, self._sequence, 0,
                                 0.5, self.state.identities_hash,
                                 loads(5, self._sequence), False))

    def round(self) -> None:
        """Runs one round: new loads, a tick, what mates and links send."""
        self.now_s += 1.0
        self._sequence += 1
        self.send(
            gossip_state.LoadsPublished(loads(self._loads, self._sequence)))
        self.send(gossip_state.Tick())
        for peer in sorted(self.state.plan.mates):
            self.send(self.digest(peer))
        for peer in sorted(self.state.plan.dialed):
            self._sequence += 1
            identity = self._others[peer]
            self.send(
                gossip_state.MessageReceived(
                    peer,
                    peer_messages.Summary(identity.failure_domain, peer,
                                          identity.incarnation, self._sequence,
                                          0.5, 1, 0, 0, 0, (), loads(3))))


def gossip_lines() -> dict[str, typing.Any]:
    """Returns time and bytes of gossip by members and by loads."""
    sent, messages, rounds, digests = [], [], [], []
    for members in _MEMBERS:
        group = _Gossip(members, 24)
        for _ in range(_WARM_UP_ROUNDS):
            group.round()
        group.bytes_sent = group.messages_sent = 0
        start = group.now_s
        for _ in range(_ROUNDS):
            group.round()
        elapsed_s = group.now_s - start
        sent.append((members, group.bytes_sent / elapsed_s))
        messages.append((members, group.messages_sent / elapsed_s))
        rounds.append((members, capacity_fit.microseconds(group.round,
                                                          _ROUNDS)))
        peer = min(group.state.plan.mates)
        digests.append(
            (members,
             capacity_fit.microseconds(
                 lambda g=group, p=peer: g.send(g.digest(p)), _CALLS)))
    peer = min(group.state.plan.mates)
    return {
        "sent_bytes_per_s":
            capacity_fit.line(sent),
        "sent_messages_per_s":
            capacity_fit.line(messages),
        "round_us":
            capacity_fit.line(rounds),
        "digest_received_us":
            capacity_fit.line(digests),
        "memory_bytes":
            capacity_fit.line((members,
                               capacity_fit.traced_bytes(
                                   lambda n=members: _Gossip(n, 24).state))
                              for members in _MEMBERS),
        "digest_bytes":
            capacity_fit.line(
                (count, len(peer_messages.encode(_digest(peer, count))))
                for count in _LOADS),
        "digest_codec_us":
            capacity_fit.times(
                _LOADS, lambda n: lambda: peer_messages.decode(
                    peer_messages.encode(_digest(peer, n))), _CALLS),
        "mates":
            len(group.state.plan.mates),
        "dialed":
            len(group.state.plan.dialed),
    }


def _digest(peer: str, count: int) -> peer_messages.Digest:
    return peer_messages.Digest(peer, 1_800_000_000_000, 9, 1800, 0.5, 2**63,
                                loads(count), False, 2**62)


def registry_lines() -> dict[str, capacity_fit.Line]:
    """Returns bytes and time of the scan of member rows and of the VM list."""

    def scan(count: int) -> bytes:
        return msgspec.json.encode({
            "rows": [{
                "key": "member/" + item.daemon,
                "version": 3,
                "value": msgspec.json.encode(item).decode(),
                "write_id": "f" * 32
            } for item in _identities(count)]
        })

    def vms(count: int) -> bytes:
        return msgspec.json.encode({
            "vms": [
                vm_list.VmDocument(name=f"vm-{i:04d}",
                                   address=f"10.2.{i // 256}.{i % 256}:9000",
                                   is_leaving=False) for i in range(count)
            ]
        })

    decoder = msgspec.json.Decoder(vm_list.VmListDocument)
    row_decoder = msgspec.json.Decoder()
    return {
        "scan_bytes":
            capacity_fit.line((n, len(scan(n))) for n in _MEMBERS),
        "scan_us":
            capacity_fit.times(
                _MEMBERS,
                lambda n: lambda data=scan(n): [
                    msgspec.json.decode(row["value"], type=membership.Identity)
                    for row in row_decoder.decode(data)["rows"]
                ],
                _CALLS),
        "vm_list_bytes":
            capacity_fit.line((n, len(vms(n))) for n in _VMS),
        "vm_list_us":
            capacity_fit.times(
                _VMS,
                lambda n: lambda data=vms(n): tuple(
                    vm_list.Vm(**item) for item in decoder.decode(data)["vms"]),
                _CALLS),
    }


def administration_lines() -> dict[str, capacity_fit.Line]:
    """Returns the time to find an operator, and of an exposition."""
    result = {
        "identify_us":
            capacity_fit.times(_OPERATORS, _identify, _CALLS),
        "exposition_us":
            capacity_fit.times(_REASONS, lambda n: _counted(n).exposition,
                               _CALLS),
        "exposition_bytes":
            capacity_fit.line(
                (n, len(_counted(n).exposition())) for n in _REASONS),
        "memory_bytes":
            capacity_fit.line(
                (n, capacity_fit.traced_bytes(lambda n=n: _counted(n)))
                for n in _REASONS),
        "count_us":
            capacity_fit.times(_REASONS,
                               lambda n: lambda counters=_counted(n): counters.
                               count("reason_1"),
                               _CALLS),
    }
    return result


def _counted(reasons: int) -> metrics.Metrics:
    counters = metrics.Metrics()
    for i in range(reasons):
        counters.count(f"reason_{i}")
    return counters


def _identify(count: int) -> typing.Callable[[], object]:
    operators = tuple(
        model.Operator(f"o{i}", access.digest_of(f"t{i}"), "reader", None)
        for i in range(count))
    configuration = model.Configuration(1, (), (), (), model.Timeouts(),
                                        frozenset(), frozenset(), operators)
    return lambda: access.identify_operator(f"Bearer t{count - 1}",
                                            configuration)
