# One function for a library, one for its tests, so that each folder's CMakeLists says only what
# the library is made of and which others it may include.

add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)

# basil_library(NAME SOURCES ... DEPENDS ...): libs/NAME with include/NAME as its public part.
function(basil_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(basil_${name} STATIC ${ARG_SOURCES})
  target_include_directories(basil_${name} PUBLIC include PRIVATE src)
  target_link_libraries(basil_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
endfunction()

# basil_test(NAME SOURCES ... DEPENDS ...): a Catch2 program registered with CTest.
function(basil_test name)
  if(NOT BASILNOTCH_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/support/CatchMain.cpp)
  target_include_directories(test_${name} PRIVATE ${CMAKE_SOURCE_DIR}/tests/support)
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS} Catch2::Catch2 rapidcheck)
  add_test(NAME ${name} COMMAND test_${name})
  # A fixed seed gives the same verdict on every run; `make soak` sets another one.
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=$ENV{RC_PARAMS}seed=20261204" TIMEOUT 300)
endfunction()
