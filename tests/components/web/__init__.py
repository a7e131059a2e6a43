"""Tests of the HTTP client and server component."""
