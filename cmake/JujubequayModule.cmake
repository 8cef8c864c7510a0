# Generates lint units: files that include several sources, so that the linter parses the headers that they share only once. The units
# are never built. A unit that does not compile, because two of its sources define the same name, is linted source by source (see
# `./dev check`).
function(jujubequay_lint_units target)
    set(unit_size 4)
    set(directory ${CMAKE_BINARY_DIR}/lint)
    set(units "")
    set(count 0)
    set(text "")
    list(GET ARGN -1 last)
    foreach(source IN LISTS ARGN)
        string(APPEND text "#include \"${source}\" // NOLINT(bugprone-suspicious-include)\n")
        math(EXPR count "${count} + 1")
        math(EXPR is_full "${count} % ${unit_size}")
        if(is_full EQUAL 0 OR source STREQUAL last)
            list(LENGTH units number)
            set(unit ${directory}/${target}_${number}.cpp)
            file(CONFIGURE OUTPUT ${unit} CONTENT "${text}" @ONLY)
            list(APPEND units ${unit})
            set(text "")
        endif()
    endforeach()
    add_library(lint_${target} OBJECT EXCLUDE_FROM_ALL ${units})
    target_link_libraries(lint_${target} PRIVATE $<TARGET_PROPERTY:${target},LINK_LIBRARIES>)
    target_include_directories(lint_${target} PRIVATE $<TARGET_PROPERTY:${target},INCLUDE_DIRECTORIES>)
endfunction()

# Adds one module of the library and, if there are TESTS, its test program.
#
#   jujubequay_module(policy
#       SOURCES placement.cpp
#       TESTS placement_test.cpp
#       DEPENDS jujubequay_core)
#
# Sources and tests are named relative to src/jujubequay/<module>/.
function(jujubequay_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS" ${ARGN})
    set(target jujubequay_${name})
    set(directory ${PROJECT_SOURCE_DIR}/src/jujubequay/${name})

    list(TRANSFORM ARG_SOURCES PREPEND ${directory}/)
    add_library(${target} STATIC ${ARG_SOURCES})
    target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/include)
    target_include_directories(${target} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${target} PUBLIC ${ARG_DEPENDS})
    set(linted ${ARG_SOURCES})
    list(FILTER linted EXCLUDE REGEX "/generated/")
    jujubequay_lint_units(${target} ${linted})

    if(ARG_TESTS)
        list(TRANSFORM ARG_TESTS PREPEND ${directory}/)
        add_executable(${name}_test ${ARG_TESTS} ${PROJECT_SOURCE_DIR}/src/jujubequay/test_main.cpp)
        target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/src)
        target_link_libraries(${name}_test PRIVATE ${target} PkgConfig::cppunit)
        jujubequay_lint_units(${name}_test ${ARG_TESTS})
        add_test(NAME ${name} COMMAND ${name}_test)
        set_tests_properties(${name} PROPERTIES TIMEOUT 300)
    endif()
endfunction()

# Adds a program from the given sources, relative to the project.
#
#   jujubequay_program(jjq-balancer SOURCES apps/jjq_balancer.cpp DEPENDS jujubequay_daemon)
function(jujubequay_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    list(TRANSFORM ARG_SOURCES PREPEND ${PROJECT_SOURCE_DIR}/)
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

# Adds a libFuzzer target from the given sources, relative to the project, if JUJUBEQUAY_FUZZ is on.
#
#   jujubequay_fuzz(message-frame-fuzz SOURCES fuzz/message_frame_fuzz.cpp DEPENDS jujubequay_wire)
function(jujubequay_fuzz name)
    if(NOT JUJUBEQUAY_FUZZ)
        return()
    endif()
    jujubequay_program(${name} ${ARGN})
    target_link_options(${name} PRIVATE -fsanitize=fuzzer)
    if(NOT TARGET fuzzers)
        add_custom_target(fuzzers)
    endif()
    add_dependencies(fuzzers ${name})
endfunction()
