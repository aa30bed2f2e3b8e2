"""Tests the events of the leaving tracker.

Guards against a leaving target that is not reported to the scheduler, or is
reported twice, and against one that never returns.
"""

import json
import logging
import pathlib

from persimmonspan.connection import vm_list
from persimmonspan.process import leaving_tracker
from persimmonspan.request import events
from persimmonspan.version import check

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"
_TARGET = "permit-model-1"


def _configuration(revision, leaving=()):
    inventory = json.loads(
        (_SAMPLES / "plaza-verde-inventory.json").read_text())
    for service in inventory["services"]:
        for i, replica in enumerate(service["replicas"]):
            replica["address"] = f"10.0.{len(service['replicas'])}.{i}:80"
    return check.build_configuration(revision, inventory,
                                     {"leaving": list(leaving)})


def test_drain_and_undrain_are_sent_once():
    sent = []
    tracker = leaving_tracker.LeavingTracker(sent.append, lambda reason: None)
    tracker.adopt_configuration(_configuration(1))
    tracker.adopt_configuration(_configuration(2, [_TARGET]))
    tracker.adopt_configuration(_configuration(3, [_TARGET]))
    tracker.adopt_configuration(_configuration(4))
    assert sent == [
        events.TargetLeaving(_TARGET),
        events.TargetReturned(_TARGET)
    ]


def test_target_that_says_it_leaves_gets_no_work_until_a_new_incarnation(
        caplog):
    caplog.set_level(logging.INFO)
    sent, counted = [], []
    tracker = leaving_tracker.LeavingTracker(sent.append, counted.append)
    tracker.adopt_configuration(_configuration(1))
    tracker.apply_answer(_TARGET, "a")  # Void: nothing would end it.
    tracker.record_incarnation(_TARGET, "a")
    tracker.apply_answer(_TARGET, "a")
    tracker.apply_answer(_TARGET, "a")
    # Neither a list of VMs nor another revision shows that it leaves.
    tracker.apply_vm_list([vm_list.Vm("vm-1", "10.0.6.0", False)], 0.5)
    tracker.adopt_configuration(_configuration(2))
    assert sent == [events.TargetLeaving(_TARGET)]
    tracker.record_incarnation(_TARGET, "b")
    tracker.apply_answer(_TARGET, "a")
    assert sent[1:] == [events.TargetReturned(_TARGET)]
    tracker.apply_answer(_TARGET, "b")
    assert sent[2:] == [events.TargetLeaving(_TARGET)]
    assert counted == [
        "target_leaving_void", "target_leaving_answer", "target_leaving_ended",
        "target_leaving_void", "target_leaving_answer"
    ]
    assert [
        record.source
        for record in caplog.records
        if record.message == "target leaving"
    ] == ["answer", "answer"]


def test_target_of_a_leaving_vm_leaves_until_a_new_incarnation():
    sent = []
    tracker = leaving_tracker.LeavingTracker(sent.append, lambda reason: None)
    tracker.adopt_configuration(_configuration(1))
    tracker.record_incarnation(_TARGET, "a")
    leaving_vm = vm_list.Vm("vm-1", "10.0.6.0", True)
    tracker.apply_vm_list([leaving_vm], 0.5)
    tracker.apply_vm_list([leaving_vm], 0.5)
    assert sent == [events.TargetLeaving(_TARGET)]
    tracker.record_incarnation(_TARGET, "b")
    assert sent[1:] == [events.TargetReturned(_TARGET)]
    tracker.apply_vm_list([leaving_vm], 300.0)
    assert len(sent) == 2
