"""Guards calls at most once over real processes that are killed and paused."""

import json

from bench import at_most_once


def test_kills_pauses_and_an_outage_lose_and_repeat_nothing(capfd):
    code = at_most_once.main([
        "--calls", "12", "--workers", "2", "--spread-s", "6", "--down-at-s",
        "2", "--down-s", "2", "--target-faults", "0.2"
    ])
    report = json.loads(capfd.readouterr().out)
    assert code == 0 and report["answers_changed"] == 0
    assert report["calls"] == 24
    assert set(report["outcomes"]) <= {"answered", "unknown"}
    assert report["outcomes"]["answered"] >= 12
