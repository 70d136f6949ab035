"""HTTP/1.1 server and client on asyncio; messages are parsed by httptools."""
