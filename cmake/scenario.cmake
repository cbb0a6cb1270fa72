set(scenario_units ChildProcess Condition Fleet FleetEntry ScenarioClient ScenarioError ScenarioMetrics ScenarioParser
  ScenarioRunner WordReader)
list(TRANSFORM scenario_units PREPEND ${PROJECT_SOURCE_DIR}/test/scenario/)
list(TRANSFORM scenario_units APPEND .cpp)
add_library(jayhold_scenario STATIC ${scenario_units})
target_include_directories(jayhold_scenario PUBLIC ${PROJECT_SOURCE_DIR}/test/scenario)
target_link_libraries(jayhold_scenario PUBLIC jayhold_standins jayhold_ctl)

add_executable(jayhold-scenario test/scenario/jayhold-scenario.cpp)
target_link_libraries(jayhold-scenario PRIVATE jayhold_scenario)
# The programs that scenarios start.
add_dependencies(jayhold-scenario jayhold-entry jayhold-load standin-engine standin-platform standin-service standin-link)

jayhold_test(scenario_test
  SOURCES test/error/ScenarioParserErrorTest.cpp
  LINK jayhold_scenario)

# Each scenario file is a test. Its path and the paths in it are relative to the root of the source
# tree.
file(GLOB scenario_files CONFIGURE_DEPENDS RELATIVE ${PROJECT_SOURCE_DIR} test/scenarios/*.scenario)
foreach(file ${scenario_files})
  get_filename_component(name ${file} NAME_WE)
  add_test(NAME scenario-${name} COMMAND jayhold-scenario --file ${file} WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
  set_tests_properties(scenario-${name} PROPERTIES TIMEOUT 120)
endforeach()

jayhold_test(entry_process_test
  SOURCES test/correctness/EntryProcessTest.cpp
  LINK jayhold_scenario)
target_compile_definitions(entry_process_test PRIVATE JAYHOLD_ENTRY="$<TARGET_FILE:jayhold-entry>")
add_dependencies(entry_process_test jayhold-entry)

# Each measures the memory of a process, so nothing else runs beside it.
foreach(name Callers Peers Servers)
  string(TOLOWER ${name} sender)
  jayhold_test(abusive_${sender}_test
    SOURCES test/error/Abusive${name}Test.cpp test/AbusiveCallers.cpp test/scenario/ChildProcess.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp
    LINK jayhold_platform)
  if(JAYHOLD_TESTS)
    target_compile_definitions(abusive_${sender}_test PRIVATE JAYHOLD_ENTRY="$<TARGET_FILE:jayhold-entry>")
    add_dependencies(abusive_${sender}_test jayhold-entry)
    set_tests_properties(abusive_${sender}_test PROPERTIES RUN_SERIAL TRUE TIMEOUT 600)
  endif()
endforeach()
