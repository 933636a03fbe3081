"""The catalogue of ranks, services and routes, and its edits."""
