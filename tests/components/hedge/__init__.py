"""Tests of hedging."""
