set(load_units CompletionReader CallPlan CallRunner LoadMix LoadReport LoadRunner)
list(TRANSFORM load_units PREPEND ${PROJECT_SOURCE_DIR}/tools/)
list(TRANSFORM load_units APPEND .cpp)
add_library(jayhold_load STATIC ${load_units})
target_include_directories(jayhold_load PUBLIC ${PROJECT_SOURCE_DIR}/tools)
target_link_libraries(jayhold_load PUBLIC jayhold_standins)

add_executable(jayhold-load tools/jayhold-load.cpp)
target_link_libraries(jayhold-load PRIVATE jayhold_load)

jayhold_test(load_test
  SOURCES test/correctness/LoadToolTest.cpp
  LINK jayhold_load)
