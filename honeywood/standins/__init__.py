"""Scripted peers on loopback, written from our own pages, that tests and lab share. Nothing here is a
front's."""
