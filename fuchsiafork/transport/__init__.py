"""HTTP/1.1 server and client connections on one event loop."""
