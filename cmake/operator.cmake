jayhold_library(jayhold_operator
  UNITS Configuration ConfigurationChange ConfigurationNames ConfigurationParser ConfigurationRules
  LINK jayhold_base)

foreach(example caprock babamen)
  add_executable(example-${example} examples/${example}.cpp)
  target_link_libraries(example-${example} PRIVATE jayhold_operator)
endforeach()

jayhold_test(operator_test
  SOURCES test/correctness/ConfigurationTest.cpp test/error/ConfigurationErrorTest.cpp
  LINK jayhold_operator)
if(JAYHOLD_TESTS)
  target_compile_definitions(operator_test PRIVATE JAYHOLD_EXAMPLES="${PROJECT_SOURCE_DIR}/examples")
endif()
