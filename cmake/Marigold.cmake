# marigold_schedule(TEST [PLACES])
# Tells ctest how much a test takes, since it begins with the largest and a fresh clone has no record of earlier runs.
# scripts/test.sh gives two places to each core, as most tests wait. One that keeps a core busy, or runs several tests
# at once, takes more; it begins early, since others would take each place that becomes free.
function(marigold_schedule test)
  set(places 1 ${ARGN})
  list(GET places -1 places)
  file(STRINGS ${CMAKE_SOURCE_DIR}/tests/seconds.txt row REGEX "^${test} ")
  if(row MATCHES " ([0-9]+)( busy)?$")
    set(seconds ${CMAKE_MATCH_1})
    if(CMAKE_MATCH_2)
      set(places 2)
    endif()
    math(EXPR cost "${seconds} * ${places}")
    set_property(TEST ${test} PROPERTY COST ${cost})
  endif()
  set_property(TEST ${test} PROPERTY PROCESSORS ${places})
endfunction()

# marigold_library(NAME [DEPENDS libs...] [LINK targets...])
# Declares the static library marigold_NAME from the *.cpp files of the current
# folder, and its test program from tests/*.cpp. DEPENDS names libraries of this
# workspace; each must have been declared earlier, which keeps the layers acyclic.
function(marigold_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(marigold_${name} STATIC ${sources})
  target_include_directories(marigold_${name} PUBLIC ${CMAKE_SOURCE_DIR}/libs)
  # all_verify_interface_header_sets compiles the public header alone.
  set(header ${CMAKE_SOURCE_DIR}/libs/${name}/${name}.h)
  if(MARIGOLD_TESTS AND EXISTS ${header})
    target_sources(marigold_${name}
      PUBLIC FILE_SET HEADERS BASE_DIRS ${CMAKE_SOURCE_DIR}/libs FILES ${header})
  endif()
  foreach(dependency IN LISTS ARG_DEPENDS)
    if(NOT TARGET marigold_${dependency})
      message(FATAL_ERROR
        "library ${name} depends on ${dependency}, which is in a higher layer or does not exist")
    endif()
    target_link_libraries(marigold_${name} PUBLIC marigold_${dependency})
  endforeach()
  target_link_libraries(marigold_${name} PUBLIC ${ARG_LINK})
  marigold_tests(${name})
endfunction()

# Declares the test program NAME_tests from tests/*.cpp of the current folder.
function(marigold_tests name)
  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(tests AND MARIGOLD_TESTS)
    add_executable(${name}_tests ${tests})
    target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR}/libs)
    if(TARGET marigold_${name})
      target_link_libraries(${name}_tests PRIVATE marigold_${name})
    endif()
    target_link_libraries(${name}_tests PRIVATE PkgConfig::CPPUTEST)
    add_test(NAME ${name} COMMAND ${name}_tests)
    marigold_schedule(${name})
  endif()
endfunction()

# marigold_program(BINARY DEPENDS libs... LINK targets...)
# Declares a program from the *.cpp files of the current folder.
function(marigold_program binary)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${binary} ${sources})
  target_include_directories(${binary} PRIVATE ${CMAKE_SOURCE_DIR}/libs ${CMAKE_SOURCE_DIR})
  target_compile_definitions(${binary} PRIVATE MARIGOLD_VERSION="${PROJECT_VERSION}")
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(${binary} PRIVATE marigold_${dependency})
  endforeach()
  target_link_libraries(${binary} PRIVATE ${ARG_LINK})
endfunction()
