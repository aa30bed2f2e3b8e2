"""What lives for one connection: listeners, peer links and adapters."""
