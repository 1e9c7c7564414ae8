"""Benchmarks with committed bounds."""
