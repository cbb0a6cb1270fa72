jayhold_library(jayhold_http
  UNITS HttpClient HttpMessages HttpServer HttpServerConnection HttpStream IoThreads
  LINK jayhold_base)

jayhold_test(http_test
  SOURCES test/correctness/HttpTest.cpp test/error/HttpServerErrorTest.cpp
  LINK jayhold_http)
