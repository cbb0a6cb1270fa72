set(scenario_units ChildProcess Condition Fleet FleetEntry ScenarioClient ScenarioError ScenarioMetrics ScenarioParser
  ScenarioRunner WordReader)
list(TRANSFORM scenario_units PREPEND ${PROJECT_SOURCE_DIR}/test/scenario/)
list(TRANSFORM scenario_units APPEND .cpp)
add_library(jayhold_scenario STATIC ${scenario_units})
target_include_directories(jayhold_scenario PUBLIC ${PROJECT_SOURCE_DIR}/test/scenario)
target_link_libraries(jayhold_scenario PUBLIC jayhold_standins)

add_executable(jayhold-scenario test/scenario/jayhold-scenario.cpp)
target_link_libraries(jayhold-scenario PRIVATE jayhold_scenario)

jayhold_test(scenario_test
  SOURCES test/error/ScenarioParserErrorTest.cpp
  LINK jayhold_scenario)
