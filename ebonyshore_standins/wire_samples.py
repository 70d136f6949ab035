"""Valid messages in the formats of the platform: objects of its store, requests, responses."""

ENTRY = (
    b'{"Service":"svc","Address":"10.0.0.9:80","Zone":"fd-a","Version":"v1","Capacity":8,'
    b'"State":"ready","Sequence":1,"born":5,"ColdRemainingMs":0.5}'
)
OBJECT = b'{"Metadata":{"Name":"t1","Revision":7},"Spec":%b,"Status":null}' % ENTRY
PAGE = b'{"Items":[%b,%b],"Truncated":false,"StoreRevision":9}' % (OBJECT, OBJECT)
EVENTS = b'{"events":[{"Object":%b,"Deleted":false}],"StoreRevision":12}' % OBJECT
CONFIG = (
    b'{"Version":3,"Routes":[{"Name":"r1","Hostname":"a.example","PathPrefix":"/x/","Type":'
    b'"streaming","TrafficSplit":[{"Service":"svc","Weight":1.5}],"TimeoutMs":800}],"Services":'
    b'[{"Name":"svc","Engine":{"Capacity":8}}],"Limits":{"IdleTimeoutMs":9},"Tenants":[{"Name":"n",'
    b'"ApiKeys":["k"],"RatePerS":5}]}'
)
SUBMISSION = (
    b'{"Items":[{"Id":"i1","Path":"/x/1","Headers":{"Model":"m"},"Body":"q83v","TokenCount":9}]}'
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nServer-Limit: 2.5\r\nServer-Leaving: 1\r\n"
    b"Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"11\r\nid: 1\ndata: abc\n\n\r\n0\r\n\r\n"
)
REQUEST = (
    b"POST /x/a?b=c HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\nAuthorization: Bearer k\r\n"
    b"Prompt-Prefix: 5c1e:800,91bd:410\r\nToken-Usage: 10,5\r\nDeadline-Ms: 500\r\n"
    b"Content-Length: 3\r\n\r\nabc"
)
UPGRADE = b"GET /x/a HTTP/1.1\r\nHost: a.example\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\nabc"
SWITCHING = b"HTTP/1.1 101 S\r\nConnection: upgrade\r\nUpgrade: h2c\r\nAttempt-Id: a1\r\n\r\nabc"
