"""Tests notices of starts: a load that no digest tells yet, and the datagrams.

They guard against daemons that all choose the engine which the last digest
showed as free, and against datagrams of strangers.
"""

import socket
import time

import msgspec

from persimmonspan.connection import start_notices
from persimmonspan.process import load_view
from persimmonspan.request import admission
from persimmonspan.request import events
from testbed import processes

_ENGINE = events.Target("e", "s", "10.0.0.1:80", "d", 27_000, 24)
_NOTICE = events.PeerStarted("e", 3000)


def _view():
    return load_view.set_targets(load_view.View(), {"s": (_ENGINE,)})


def _unread(view, now_s):
    return admission.unread_tokens(view.targets["e"], now_s)


def _sum_of_peers(*loads):
    return events.PeerLoad("others", loads, (), True)


def test_start_counts_until_a_digest_tells_it():
    view = load_view.record_peer_start(_view(), _NOTICE, 1.0)
    assert _unread(view, 1.0) == 3000
    # This digest left its sender before the start.
    view = load_view.apply_peer_load(view, _sum_of_peers(), 1.05)
    assert _unread(view, 1.05) == 3000
    told = events.TargetLoad("e", 1, 3000, prefill_tokens=3000)
    view = load_view.apply_peer_load(view, _sum_of_peers(told), 1.3)
    assert _unread(view, 1.3) == 3000


def test_start_is_forgotten_without_digests():
    view = load_view.record_peer_start(_view(), _NOTICE, 1.0)
    assert _unread(view, 3.0) == 0


def test_engine_with_a_noticed_prompt_admits_less():
    view = _view()
    profile = load_view.Profile((2500.0,) * 6)
    for _ in range(4):
        assert admission.fits(view.targets["e"], profile, False, 71, 1.0)
        view = load_view.record_peer_start(view, _NOTICE, 1.0)
    assert not admission.fits(view.targets["e"], profile, False, 71, 1.0)


def test_start_at_an_unknown_target_changes_no_target():
    view = load_view.record_peer_start(_view(),
                                       _NOTICE._replace(target="other"), 1.0)
    assert view.targets == _view().targets


def test_fewer_starts_are_unseen_while_notices_arrive():
    demand = events.Demand("s", 40.0, 0)
    view = load_view.apply_peer_load(
        _view(), events.PeerLoad("others", (), (demand,), True), 1.0)
    before = load_view.expected_peer_starts(view, "s", 1.4)
    view = load_view.record_peer_start(view, _NOTICE, 1.3)
    assert load_view.expected_peer_starts(view, "s", 1.4) < before / 10
    assert load_view.expected_peer_starts(view, "s", 5.0) > before


def _await(received, count):
    end_s = time.monotonic() + 5.0
    while len(received) < count and time.monotonic() < end_s:
        time.sleep(0.01)


def test_only_well_formed_notices_of_peers_are_received():
    first, second = (f"127.0.0.1:{processes.free_port()}" for _ in range(2))
    received, counted = [], []
    sender = start_notices.StartNotices(first, received.append, counted.append)
    receiver = start_notices.StartNotices(second, received.append,
                                          counted.append)
    stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with sender.running(), receiver.running(), stranger:
        receiver.set_peers((first,), 1)
        sender.set_peers((second,), 1)
        address = ("127.0.0.1", int(second.rpartition(":")[2]))
        stranger.sendto(msgspec.msgpack.encode(("e", 1)), address)
        stranger.sendto(b"\xff" * 600, address)
        sender.send("e", -1)
        sender.send("e", 3000)
        _await(received, 1)
    assert received == [_NOTICE]
    assert counted.count("start_notice_of_stranger") == 2


def test_nothing_is_sent_to_too_few_or_too_many_peers():
    counted = []
    notices = start_notices.StartNotices(f"127.0.0.1:{processes.free_port()}",
                                         lambda event: None, counted.append)
    with notices.running():
        for count in (3, start_notices.MAX_PEERS + 1):
            notices.set_peers([f"127.0.0.1:{9 + i}" for i in range(count)], 4)
            notices.send("e", 1)
    assert not counted
