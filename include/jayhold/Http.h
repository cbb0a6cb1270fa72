#pragma once

/// Public header of jayhold_http: HTTP server and client over the I/O threads. Asio is included
/// for the coroutine type; Beast stays inside the library.

#include "HttpClient.h"
#include "HttpServer.h"
#include "IoThreads.h"
