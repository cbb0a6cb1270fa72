jayhold_library(jayhold_http
  UNITS ConnectionPool HttpClient HttpMessages HttpServer HttpServerConnection HttpStream IoThreads Pause RepeatedCheck SocketOptions Tasks
  LINK jayhold_base)

jayhold_test(http_test
  SOURCES test/correctness/HttpTest.cpp test/correctness/ReusedConnectionTest.cpp test/correctness/SocketOptionsTest.cpp test/correctness/TasksTest.cpp test/error/HttpClientErrorTest.cpp test/error/HttpServerErrorTest.cpp
  LINK jayhold_http)
