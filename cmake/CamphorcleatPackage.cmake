# Functions that declare the packages, their tests and their installation.

add_library(camphorcleat_options INTERFACE)
target_compile_features(camphorcleat_options INTERFACE cxx_std_17)
# Without this, Qt defines the macros "slots", "signals" and "emit", which are used as names here.
target_compile_definitions(camphorcleat_options INTERFACE QT_NO_KEYWORDS)
target_compile_options(camphorcleat_options INTERFACE
  $<BUILD_INTERFACE:-Wall> $<BUILD_INTERFACE:-Wextra> $<BUILD_INTERFACE:-Werror>)
# GCC 12 gives false positives of this warning in the headers of Boost.Asio and websocketpp.
target_compile_options(camphorcleat_options INTERFACE 
  $<BUILD_INTERFACE:$<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>>)
if(CAMPHORCLEAT_SANITIZE)
  target_compile_options(camphorcleat_options INTERFACE
    -fsanitize=${CAMPHORCLEAT_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(camphorcleat_options INTERFACE -fsanitize=${CAMPHORCLEAT_SANITIZE})
endif()
if(CAMPHORCLEAT_SANITIZE STREQUAL "thread")
  # GCC's thread sanitizer doesn't support memory fences. Asio can do without them, because its own
  # locks order the handlers.
  target_compile_definitions(camphorcleat_options INTERFACE
    $<BUILD_INTERFACE:BOOST_ASIO_DISABLE_FENCED_BLOCK>)
endif()

set(CAMPHORCLEAT_TARGETS camphorcleat_options CACHE INTERNAL "")

# Declares the library camphorcleat::NAME with all .cc files of the current folder, except *Main.cc.
# Usage: camphorcleat_package(NAME DEPENDS targets...)
function(camphorcleat_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cc)
  list(FILTER sources EXCLUDE REGEX "Main\\.cc$")
  if(sources)
    add_library(camphorcleat_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(camphorcleat_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(camphorcleat::${name} ALIAS camphorcleat_${name})
  set_target_properties(camphorcleat_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(camphorcleat_${name} ${scope}
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/packages> $<INSTALL_INTERFACE:include/camphorcleat>)
  target_link_libraries(camphorcleat_${name} ${scope} camphorcleat_options Threads::Threads ${arg_DEPENDS})
  set(CAMPHORCLEAT_TARGETS ${CAMPHORCLEAT_TARGETS} camphorcleat_${name} CACHE INTERNAL "")
  file(GLOB headers CONFIGURE_DEPENDS *.h)
  if(headers)
    install(FILES ${headers} DESTINATION include/camphorcleat/${name})
  endif()
endfunction()

# Builds one Catch2 program from all testing/*Test.cc of the current folder and registers it with
# ctest. EXCEPT excludes test cases: its arguments are Catch2 filters such as "~name*", which are
# passed to the program.
# Usage: camphorcleat_tests(NAME [DEPENDS targets...] [TIMEOUT seconds] [EXCEPT arguments...])
function(camphorcleat_tests name)
  cmake_parse_arguments(arg "" "TIMEOUT" "DEPENDS;EXCEPT" ${ARGN})
  if(NOT arg_TIMEOUT)
    set(arg_TIMEOUT 120)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS testing/*Test.cc)
  if(NOT sources OR NOT CAMPHORCLEAT_TESTS)
    return()
  endif()
  add_executable(${name}_test ${sources})
  set_target_properties(${name}_test PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/testing)
  target_link_libraries(${name}_test PRIVATE camphorcleat::${name} camphorcleat_catch ${arg_DEPENDS})
  add_test(NAME ${name} COMMAND ${name}_test ${arg_EXCEPT})
  set_tests_properties(${name} PROPERTIES TIMEOUT ${arg_TIMEOUT})
endfunction()

# Installs and exports the packages, so that find_package(camphorcleat COMPONENTS ...) finds them.
function(camphorcleat_install_packages)
  install(TARGETS ${CAMPHORCLEAT_TARGETS} EXPORT camphorcleat)
  install(EXPORT camphorcleat NAMESPACE camphorcleat:: DESTINATION lib/cmake/camphorcleat
    FILE camphorcleat-targets.cmake)
  include(CMakePackageConfigHelpers)
  # Before 1.0, a new minor version may change interfaces.
  write_basic_package_version_file(${PROJECT_BINARY_DIR}/camphorcleat-config-version.cmake
    COMPATIBILITY SameMinorVersion)
  install(FILES ${PROJECT_SOURCE_DIR}/cmake/camphorcleat-config.cmake
    ${PROJECT_BINARY_DIR}/camphorcleat-config-version.cmake
    DESTINATION lib/cmake/camphorcleat)
endfunction()
