"""Parsers and serializers, free of I/O, for HTTP/1.1, the platform's lines and discovery's server list."""
