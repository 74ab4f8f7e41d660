"""HTTP/1.1 transport of the controller and the proxy.

Listeners are built on uvicorn, connections to peers on httpcore. Start reading at tcp_stream.py (one TCP
connection), connection.py (exchanges on it) and client.py (calls between programs) for the client side, and
at server.py (listeners) and protocol.py (one client's connection) for the server side.
"""
