"""Tests of the reading of byte streams."""
