"""Runs at scale: hollow members beside real routers, and what a member costs."""
