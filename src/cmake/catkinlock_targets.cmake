# Adds a static library of the project: catkinlock_library(NAME SOURCES ... LINK ... PRECOMPILE ...). The optional
# PRECOMPILE lists the headers that are precompiled for it.
function(catkinlock_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;PRECOMPILE" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC "${PROJECT_SOURCE_DIR}/src/include" "${PROJECT_SOURCE_DIR}/src")
  target_link_libraries(${name} PUBLIC ${ARG_LINK})
  if(ARG_PRECOMPILE)
    target_precompile_headers(${name} PRIVATE ${ARG_PRECOMPILE})
  endif()
endfunction()

# Adds a unit test: catkinlock_test(NAME LINK ...) builds NAME.cpp of the current directory. RC_PARAMS fixes the seed of
# the property tests, so that each run of ctest generates the same cases.
function(catkinlock_test name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  add_executable(${name} ${name}.cpp)
  target_link_libraries(${name} PRIVATE ${ARG_LINK} ${RAPIDCHECK_LIBRARY} GTest::gtest GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300)
endfunction()
