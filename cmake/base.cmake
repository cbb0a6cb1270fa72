add_library(easyloggingpp STATIC /usr/include/easylogging++.cc)
target_compile_options(easyloggingpp PRIVATE -w)

jayhold_library(jayhold_base
  UNITS ConfigError EventLog FileError Hexadecimal HybridClock JsonElements JsonReader JsonText LogLine LogParser LogQueue LogRateLimiter LoggedEventJson RequestHistory Sha256 Timeline Version
  LINK easyloggingpp Boost::json OpenSSL::Crypto)

if(JAYHOLD_TESTS)
  add_library(catch_main STATIC test/CatchMain.cpp)
  target_link_libraries(catch_main PUBLIC Catch2::Catch2)
endif()

# Declares a test program and registers it with CTest. The RapidCheck seed is fixed so that every
# run has the same result. JAYHOLD_RC_PARAMS overrides it at configure time.
set(JAYHOLD_RC_PARAMS "seed=20261204" CACHE STRING "RapidCheck parameters of the registered tests")
add_custom_target(unit_tests)
# Test timeout in seconds. Instrumented code runs many times slower.
set(test_timeout 120)
if(JAYHOLD_SANITIZE)
  set(test_timeout 600)
endif()
function(jayhold_test name)
  if(NOT JAYHOLD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_LINK} catch_main rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  add_dependencies(unit_tests ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=${JAYHOLD_RC_PARAMS}" TIMEOUT ${test_timeout} LABELS unit)
endfunction()

jayhold_test(base_test
  SOURCES test/correctness/HybridClockTest.cpp test/correctness/EventLogTest.cpp test/correctness/LogQueueTest.cpp test/error/JsonElementsTest.cpp test/error/JsonReaderTest.cpp
  LINK jayhold_base)
