"""Tests that hedged requests shorten the tail within their share."""

from bench import hedging


def test_tail_is_shorter_while_15_percent_of_the_targets_are_slow():
    # Failure: extra attempts are sent that shorten no slow response, or more of
    # them than the operators accept.
    plain, hedged = (hedging.Simulation(hedging.Load(requests=6000,
                                                     share=share)).run()
                     for share in (0.0, 0.05))
    assert len(plain.latencies_s) == len(hedged.latencies_s) == 6000
    assert plain.extra == 0 < hedged.extra <= 0.05 * 6000
    assert hedged.quantile_s(0.99) < 0.97 * plain.quantile_s(0.99)
    assert hedged.quantile_s(0.999) < 0.9 * plain.quantile_s(0.999)
