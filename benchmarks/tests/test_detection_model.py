"""The model of detection."""

from benchmarks import detection
from benchmarks._detection_cases import KAPRA, Fault


def test_attempts_that_are_never_overdue_end_by_their_timeout():
    # Guards against a baseline that sees no timeout, because its attempts on
    # reused connections never ended: 30 s instead of 4 s.
    detector_factory = detection.make_consecutive_error_detector
    time = detection.measure_detection(
        KAPRA, Fault.BLACK_HOLE, 1000, detector_factory
    )
    assert time < 10.0
