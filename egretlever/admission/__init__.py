"""Admission: rank queues, adaptive concurrency and caller fairness."""
