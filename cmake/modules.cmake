# Adds the static library primroseweir_<name> from all sources in src/<name>, or an interface library
# while the module has headers only.
function(primroseweir_module name)
  file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc
       ${PROJECT_SOURCE_DIR}/src/${name}/detail/*.cc)
  if(sources)
    add_library(primroseweir_${name} STATIC ${sources})
    set(scope PUBLIC)
  else()
    add_library(primroseweir_${name} INTERFACE)
    set(scope INTERFACE)
  endif()
  target_include_directories(primroseweir_${name} ${scope} ${PROJECT_SOURCE_DIR}/include)
  target_link_libraries(primroseweir_${name} ${scope} ${ARGN})
endfunction()

# The promises of docs/design.md section 1.2: `ctest -R <promise>` runs the tests of one of them.
set(PRIMROSEWEIR_PROMISES probe-budget cold-start data-centre-out whole-answers not-run at-most-once
    upstream-leaving graceful-stop config-in-force)

# Adds one Catch2 binary per folder of tests/<module> with *_test.cc files. Each promise tag becomes a
# ctest entry of its own; `unit.<module>` runs the rest.
function(primroseweir_tests)
  find_package(rapidcheck QUIET)
  file(GLOB folders CONFIGURE_DEPENDS LIST_DIRECTORIES true ${PROJECT_SOURCE_DIR}/tests/*)
  foreach(folder IN LISTS folders)
    get_filename_component(module ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*_test.cc)
    if(NOT sources)
      continue()
    endif()
    # PRIMROSEWEIR_ENTRY names another entry binary, such as the naive one, for the tests with processes.
    if(module STREQUAL process AND NOT TARGET primroseweir-entry AND NOT DEFINED ENV{PRIMROSEWEIR_ENTRY})
      message(STATUS "tests/process needs primroseweir-entry, which is not part of this tree yet")
      continue()
    endif()
    add_executable(${module}_test ${sources})
    target_link_libraries(${module}_test PRIVATE primroseweir_test_support)
    if(TARGET primroseweir_${module})
      target_link_libraries(${module}_test PRIVATE primroseweir_${module})
      # A module that has a stand-in is tested against it.
      if(TARGET primroseweir_standin_${module})
        target_link_libraries(${module}_test PRIVATE primroseweir_standin_${module})
      endif()
    else()
      # Folders that are no module test several of them together.
      target_link_libraries(${module}_test PRIVATE primroseweir_entry)
    endif()
    if(module STREQUAL platform OR module STREQUAL crowds)
      target_compile_definitions(${module}_test PRIVATE PRIMROSEWEIR_BUILD_FOLDER="${PROJECT_BINARY_DIR}")
      add_dependencies(${module}_test primroseweir-platform standin-platform)
      target_link_libraries(${module}_test PRIVATE primroseweir_fleet)
    endif()
    if(module MATCHES "crowds$")
      # One entry for each test case. They measure the memory of a process under load, so nothing else
      # runs beside them.
      foreach(source IN LISTS sources)
        file(STRINGS ${source} lines REGEX "\\[(entry-)?crowd-[a-z-]+\\]")
        foreach(line IN LISTS lines)
          string(REGEX MATCH "(entry-)?crowd-[a-z-]+" tag "${line}")
          add_test(NAME ${module}.${tag} COMMAND ${module}_test "[${tag}]"
                   WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
          set_tests_properties(${module}.${tag} PROPERTIES TIMEOUT 120 RUN_SERIAL TRUE)
        endforeach()
      endforeach()
      continue()
    endif()
    set(excluded "")
    foreach(promise IN LISTS PRIMROSEWEIR_PROMISES)
      set(found "")
      foreach(source IN LISTS sources)
        file(STRINGS ${source} lines REGEX "\\[${promise}\\]")
        list(APPEND found ${lines})
      endforeach()
      if(found)
        add_test(NAME ${promise}.${module} COMMAND ${module}_test "[${promise}]"
                 WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
        set_tests_properties(${promise}.${module} PROPERTIES TIMEOUT 300)
        string(APPEND excluded "~[${promise}]")
      endif()
    endforeach()
    add_test(NAME unit.${module} COMMAND ${module}_test ${excluded} "~[.]"
             WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
    set_tests_properties(unit.${module} PROPERTIES TIMEOUT 300)
    if(module STREQUAL platform)
      # The soak keeps several cores busy, which would upset the timing of tests beside it.
      set_tests_properties(unit.${module} PROPERTIES RUN_SERIAL TRUE)
    endif()
  endforeach()
endfunction()
