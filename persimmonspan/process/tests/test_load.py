"""Tests the load generator: the plan follows the seed, no request is lost."""

import json
import pathlib

from persimmonspan.process import load

_SAMPLES = pathlib.Path(__file__).parents[3] / "samples"


def _inventory():
    return json.loads((_SAMPLES / "elo-nordeste-inventory.json").read_text())


def test_plan_depends_on_the_seed_alone():
    plans = [load.plan(_inventory(), 50.0, 4.0, seed) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]
    assert all(item.at_s < 4.0 for item in plans[0])
    assert {item.kind for item in plans[0]
           } == {kind["name"] for kind in _inventory()["request_kinds"]}
    assert len({item.idempotency_key for item in plans[0]}) == len(plans[0])


def test_summary_counts_every_request_once():
    planned = load.plan(_inventory(), 20.0, 2.0, 1)
    results = [
        load.Result(item, "complete" if i % 2 else "overloaded", "ran", 0.1,
                    (0.01,), (b"x", b"data: [DONE]"), ("ran",))
        for i, item in enumerate(planned)
    ]
    summary = load.summarise(results)
    counted = sum(count for counts in summary["outcomes_by_kind"].values()
                  for count in counts.values())
    assert counted == summary["requests"] == len(planned)
