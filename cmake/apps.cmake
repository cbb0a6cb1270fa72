add_executable(jayhold-entry apps/jayhold-entry.cpp)
target_link_libraries(jayhold-entry PRIVATE jayhold_platform)
