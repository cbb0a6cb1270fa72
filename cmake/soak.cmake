add_executable(standin-replica test/soak/standin-replica.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp)
target_include_directories(standin-replica PRIVATE test test/soak)
target_link_libraries(standin-replica PRIVATE jayhold_standins)

add_executable(standin-endless test/soak/standin-endless.cpp)
target_link_libraries(standin-endless PRIVATE jayhold_standins)

# What the soak shares with the test of its checks.
add_library(jayhold_soak_parts STATIC test/soak/CustomerChecks.cpp test/soak/EndlessChecks.cpp test/soak/FaultPeriod.cpp test/soak/FaultPlan.cpp test/soak/NoticeChecks.cpp test/soak/PartChecks.cpp test/soak/SoakCallers.cpp test/soak/SoakChecks.cpp
  test/soak/SoakCustomers.cpp test/soak/SoakFleet.cpp test/soak/SoakFleetFaults.cpp test/soak/SoakFleetRecords.cpp test/soak/SpeedChecks.cpp test/soak/Stalls.cpp test/soak/StreamChecks.cpp test/FakeBackendServer.cpp test/FakeObjectStore.cpp)
target_include_directories(jayhold_soak_parts PUBLIC test test/soak)
target_link_libraries(jayhold_soak_parts PUBLIC jayhold_entry jayhold_scenario)

add_executable(jayhold-soak test/soak/jayhold-soak.cpp test/soak/CustomerSchedule.cpp test/soak/PlannedMaintenance.cpp test/soak/RunLog.cpp test/soak/StallMeter.cpp)
target_link_libraries(jayhold-soak PRIVATE jayhold_soak_parts)
add_dependencies(jayhold-soak jayhold-entry standin-endless standin-link standin-replica)

# A short run, and each seed that has ever failed, with the duration of its fault injection in
# seconds and the number of its entry instances.
file(STRINGS test/soak/seeds.txt soak_seeds REGEX "^[0-9]")
foreach(line ${soak_seeds})
  string(REGEX MATCH "^([0-9]+) ([0-9]+) ([0-9]+)" matched "${line}")
  add_test(NAME soak-${CMAKE_MATCH_1} COMMAND jayhold-soak --seed ${CMAKE_MATCH_1} --seconds ${CMAKE_MATCH_2} --entries ${CMAKE_MATCH_3})
  set_tests_properties(soak-${CMAKE_MATCH_1} PROPERTIES TIMEOUT 120)
endforeach()

jayhold_test(soak_checks_test
  SOURCES test/correctness/SoakChecksTest.cpp test/correctness/SoakCustomersTest.cpp test/correctness/PartChecksTest.cpp test/correctness/StallsTest.cpp test/correctness/StreamChecksTest.cpp
  LINK jayhold_soak_parts)

jayhold_test(paused_drain_test
  SOURCES test/error/PausedDrainTest.cpp
  LINK jayhold_soak_parts)
target_compile_definitions(paused_drain_test PRIVATE JAYHOLD_ENTRY="$<TARGET_FILE:jayhold-entry>")
add_dependencies(paused_drain_test jayhold-entry)
