"""Handling of a request: scheduling, streams and the ledger."""
