# Helpers that declare the project's targets with one set of warnings.

if(FERRYROCK_TESTS)
  include(Catch)
endif()

function(ferryrock_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
  if(CMAKE_CXX_COMPILER_ID MATCHES Clang)
    # FERRYROCK_FIELDS gives each message an equality, also where a file's own messages need none.
    target_compile_options(${target} PRIVATE -Wno-unused-function)
  endif()
endfunction()

# ferryrock_library(NAME [dependencies...]): a static library of all *.cc files of the current folder.
function(ferryrock_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(sources)
    add_library(ferryrock_${name} STATIC ${sources})
    target_include_directories(ferryrock_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(ferryrock_${name} PUBLIC ${ARGN})
    ferryrock_warnings(ferryrock_${name})
  else()
    add_library(ferryrock_${name} INTERFACE)
    target_include_directories(ferryrock_${name} INTERFACE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(ferryrock_${name} INTERFACE ${ARGN})
  endif()
endfunction()

# ferryrock_discover_tests(NAME [label]): each test case of test_NAME becomes one CTest test "NAME:test case". The label
# is "unit" unless given. Seeds are fixed, so that each run gives the same verdict.
function(ferryrock_discover_tests name)
  set(label unit)
  if(ARGC GREATER 1)
    set(label ${ARGV1})
  endif()
  catch_discover_tests(test_${name} TEST_PREFIX "${name}:"
                       PROPERTIES TIMEOUT 300 LABELS ${label} ENVIRONMENT "RC_PARAMS=seed=20261")
endfunction()

# ferryrock_test(NAME [dependencies...]): one Catch2 program of all *.cc files of the current folder.
function(ferryrock_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${name} ${sources})
  target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(test_${name} PRIVATE ${ARGN} ferryrock_catch_main Catch2::Catch2 ${RAPIDCHECK_LIBRARY})
  ferryrock_warnings(test_${name})
  ferryrock_discover_tests(${name} ${name})
endfunction()

# ferryrock_fuzzer(NAME SOURCE [dependencies...]): a libFuzzer program; without FERRYROCK_FUZZ nothing is built.
function(ferryrock_fuzzer name source)
  if(FERRYROCK_FUZZ)
    add_executable(fuzz_${name} ${source})
    target_include_directories(fuzz_${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(fuzz_${name} PRIVATE ${ARGN})
    target_compile_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
    target_link_options(fuzz_${name} PRIVATE -fsanitize=fuzzer)
    ferryrock_warnings(fuzz_${name})
  endif()
endfunction()
