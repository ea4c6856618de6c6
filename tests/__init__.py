"""Tests of laurelrock, with one file for each topic."""
