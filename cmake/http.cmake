jayhold_library(jayhold_http
  UNITS ConnectionClose ConnectionPool HttpClient HttpMessages HttpRequestReader HttpServer HttpServerConnection HttpServerExchange HttpStream IoThreads LoopMonitor Pause RepeatedCheck RequestBudget ResponseBudget SocketOptions Tasks
  LINK jayhold_base)

jayhold_test(http_test
  SOURCES test/correctness/AbandonedCallTest.cpp test/correctness/ConnectionCloseTest.cpp test/correctness/HttpServerDrainTest.cpp test/correctness/HttpTest.cpp test/correctness/LoopMonitorTest.cpp test/correctness/RawBackendTest.cpp test/correctness/RequestBudgetTest.cpp test/correctness/ResponseBudgetTest.cpp test/correctness/ReusedConnectionTest.cpp test/correctness/SilentLinkTest.cpp test/correctness/SlowCallerTest.cpp test/correctness/SocketOptionsTest.cpp test/correctness/TasksTest.cpp test/error/EarlyResponseTest.cpp test/error/EndlessResponsesTest.cpp test/error/HttpClientErrorTest.cpp test/error/HttpServerErrorTest.cpp test/error/InvalidStatusTest.cpp test/error/ResponseHeadTest.cpp test/error/TruncatedResponseTest.cpp
  LINK jayhold_http)
