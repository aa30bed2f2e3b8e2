"""What lives for the process: actors, membership, leases, command line."""
