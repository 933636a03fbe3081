"""A proxy fleet, and a library of its parts, for gray-failing backends."""

__all__ = ["__version__"]

__version__ = "0.1.0"
