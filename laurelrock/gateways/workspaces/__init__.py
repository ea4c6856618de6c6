"""Requests of workspaces: their keys, caps and shares."""
