"""Parsers and writers over a buffer: HTTP/1.1, the platform's lines, discovery's list. Without I/O."""
