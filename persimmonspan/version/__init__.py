"""What lives for a configuration version: documents, checks and adoption."""
