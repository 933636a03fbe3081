"""HTTP/1.1, datagrams and framed messages on curio."""
