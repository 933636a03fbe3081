"""Schema of messages, settings and catalogue entries, with generated code."""
