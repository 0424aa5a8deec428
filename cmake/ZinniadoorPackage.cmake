# Build rules shared by all packages: one static library and one test program per package.

set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O1")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Werror)
add_link_options(-fuse-ld=lld)

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(cereal REQUIRED)
find_package(CURL REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED COMPONENTS core)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Boost REQUIRED COMPONENTS unit_test_framework)
find_package(PkgConfig REQUIRED)
pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)

# zinniadoor_package(<name> SOURCES ... DEPENDS ... )
# Adds the static library zinniadoor_<name> from the sources in the current folder.
function(zinniadoor_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(zinniadoor_${name} STATIC ${ARG_SOURCES})
  target_include_directories(zinniadoor_${name} PUBLIC "${PROJECT_SOURCE_DIR}/include")
  target_link_libraries(zinniadoor_${name} PUBLIC ${ARG_DEPENDS} Threads::Threads)
endfunction()

# zinniadoor_test(<name> SOURCES ... DEPENDS ...)
# Adds a Boost.Test program; each test program is one CTest test.
function(zinniadoor_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} "${PROJECT_SOURCE_DIR}/tests/test_main.cpp")
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::unit_test_framework
                                        ${RAPIDCHECK_LIBRARY})
  add_test(NAME ${name} COMMAND ${name} --color_output=no)
endfunction()
