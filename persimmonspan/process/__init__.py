"""Components that live as long as the process: actors, leases, command line."""
