"""Simulator in virtual time: runs the real decision module against models of clients and servers."""
