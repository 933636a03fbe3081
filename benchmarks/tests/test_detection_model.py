"""Tests of the detection model."""

from benchmarks import detection
from benchmarks._detection_cases import KAPRA, Fault


def test_attempts_without_overdue_signal_end_at_their_timeout():
    # Guards against attempts on reused connections that never end, so that a
    # baseline observes no timeouts and detects in 30 s instead of 4 s.
    detector_factory = detection.make_consecutive_error_detector
    time = detection.measure_detection(
        KAPRA, Fault.BLACK_HOLE, 1000, detector_factory
    )
    assert time < 10.0
