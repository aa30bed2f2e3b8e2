"""What lives for one request: scheduling, streams and the ledger."""
