jayhold_library(jayhold_ctl
  UNITS AdminClient CtlCommands CtlConfiguration CtlExplain CtlOptions CtlPlacement CtlStatus CtlTimeline JsonTables TextTable
  LINK jayhold_operator jayhold_http)

add_executable(jayholdctl apps/jayholdctl.cpp)
target_link_libraries(jayholdctl PRIVATE jayhold_ctl)

jayhold_test(ctl_test
  SOURCES test/correctness/TimelineTest.cpp test/error/CtlOptionsTest.cpp test/correctness/CtlCommandsTest.cpp test/correctness/RequestHistoryTest.cpp
  LINK jayhold_ctl)
if(JAYHOLD_TESTS)
  target_compile_definitions(ctl_test PRIVATE JAYHOLD_EXAMPLES="${PROJECT_SOURCE_DIR}/examples")
endif()
