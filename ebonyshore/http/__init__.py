"""HTTP/1.1 on the process's event loop, parsed by httptools: a server and a client side."""
