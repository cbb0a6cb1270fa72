#pragma once

/// Public header of jayhold_http: HTTP server and client on the I/O threads. It includes Asio for the
/// coroutine type. Beast is an implementation detail of the library.

#include "HttpClient.h"
#include "HttpServer.h"
#include "IoThreads.h"
