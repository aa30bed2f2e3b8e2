"""Tests settling of lost responses with random writes of other writers.

Oracle: the table itself shows whether the transaction was applied, and whether
it can still be applied.
"""

import hypothesis
from hypothesis import strategies

from persimmonspan.connection import table_service
from testbed import platform

_KEYS = ("a", "b", "witness")
_others = strategies.lists(strategies.tuples(strategies.sampled_from(_KEYS[:2]),
                                             strategies.booleans()),
                           max_size=4)


def _write(table, write_id, checks, puts, deletes=()):
    return table.transact(
        table_service.TransactDocument(write_id=write_id,
                                       checks=[{
                                           "key": key,
                                           "version": version
                                       } for key, version in checks],
                                       puts=[{
                                           "key": key,
                                           "value": ""
                                       } for key in puts],
                                       deletes=list(deletes)))[0]


def _disturb(table, others):
    for key, is_delete in others:
        _write(table, "other", [], [] if is_delete else [key],
               [key] if is_delete else [])


@hypothesis.settings(max_examples=600,
                     deadline=None,
                     database=None,
                     derandomize=True)
@hypothesis.given(_others, _others, _others, strategies.booleans(),
                  strategies.booleans(), strategies.booleans())
def test_settling_agrees_with_the_table(first, before, after, is_sent,
                                        has_witness, is_witness_taken):
    keys = _KEYS if has_witness else _KEYS[:2]
    table = platform.Table()
    _disturb(table, first)
    checks = [(row["key"], row["version"]) for row in table.read(list(keys))]
    if is_witness_taken:
        _write(table, "other", [], ["witness"])
    _disturb(table, before)
    was_applied = is_sent and _write(table, "mine", checks, keys) > 0
    _disturb(table, after)
    transaction = table_service.Transaction(
        tuple(table_service.Check(*item) for item in checks),
        tuple(table_service.Put(key, "") for key in keys),
        witness="witness" if has_witness else None)
    rows = [table_service.Row(**row) for row in table.read(list(keys))]
    result = table_service.infer_result(transaction, "mine", rows)
    can_apply = _write(table, "mine", checks, keys) > 0
    if result.outcome == table_service.Outcome.APPLIED:
        assert was_applied
    elif result.outcome == table_service.Outcome.NOT_APPLIED:
        assert not was_applied and not can_apply
    elif result.code is None:
        assert not was_applied and can_apply
    elif not after:
        # Nobody wrote afterwards, so the doubt comes from an earlier write.
        assert not was_applied
    # Nobody overwrites the witness here, so it settles every history.
    if has_witness and not can_apply:
        assert result.outcome != table_service.Outcome.UNKNOWN
