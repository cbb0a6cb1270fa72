# The stand-ins share one library, so that tests can run them inside the test process.
set(standin_units CommandLine CommandOption ComputeQueue Engine EngineAdmin EngineDecode EngineFaults EngineKv
  EngineMemory EnginePrefill EngineReports EngineRequest EngineWork ExpectedTokens KvPull Link LinkFaults
  Platform PlatformFaults PlatformObjects PrefixCache PromptBlocks ServiceResponse ServiceFaults
  StandinMain StandinService StepLoop Target)
list(TRANSFORM standin_units PREPEND ${PROJECT_SOURCE_DIR}/standins/)
list(TRANSFORM standin_units APPEND .cpp)
add_library(jayhold_standins STATIC ${standin_units})
target_include_directories(jayhold_standins PUBLIC ${PROJECT_SOURCE_DIR}/standins)
target_link_libraries(jayhold_standins PUBLIC jayhold_http)

foreach(standin engine platform service link)
  add_executable(standin-${standin} standins/${standin}-main.cpp)
  target_link_libraries(standin-${standin} PRIVATE jayhold_standins)
endforeach()

jayhold_test(standin_test
  SOURCES test/correctness/StandinEngineTest.cpp test/correctness/StandinPlatformTest.cpp
    test/correctness/StandinServiceTest.cpp
  LINK jayhold_standins)
