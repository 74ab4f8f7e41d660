"""Transport of both programs: HTTP/1.1 listeners (uvicorn), connections (httpcore) and calls between them.

Start reading at tcp_stream.py (one TCP connection), connection.py (exchanges on it), client.py (calls between
programs), server.py and protocol.py (listeners and what they do with one client's connection).
"""
