# Adapter to the platform on which the balancers are deployed, and the programs that run there.
add_library(jujubequay_platform STATIC
    platform/calls.cpp
    platform/http_api.cpp
    platform/json_body.cpp
    platform/packet_format.cpp
    platform/program.cpp
    platform/stub_messages.cpp)
target_include_directories(jujubequay_platform PUBLIC ${PROJECT_SOURCE_DIR})
target_link_libraries(jujubequay_platform PUBLIC jujubequay_steering_program nlohmann_json::nlohmann_json)

jujubequay_program(jjq-platform-balancer SOURCES platform/jjq_platform_balancer.cpp DEPENDS jujubequay_platform)
jujubequay_program(jjq-platform-agent SOURCES platform/jjq_platform_agent.cpp DEPENDS jujubequay_platform)
jujubequay_program(jjq-platform-control SOURCES platform/jjq_platform_control.cpp DEPENDS jujubequay_platform)
add_custom_target(platform DEPENDS jjq-platform-balancer jjq-platform-agent jjq-platform-control)

add_executable(platform_test
    platform/json_body_test.cpp
    platform/platform_test.cpp
    src/jujubequay/test_main.cpp)
target_link_libraries(platform_test PRIVATE jujubequay_platform PkgConfig::cppunit)
add_test(NAME platform COMMAND platform_test)
set_tests_properties(platform PROPERTIES TIMEOUT 300)

# Runs the real programs under random faults.
jujubequay_program(jjq-fault-soak
    SOURCES
        soak/caller_stub.cpp
        soak/child_process.cpp
        soak/deployment.cpp
        soak/ecmp_router_stub.cpp
        soak/fault_run.cpp
        soak/guarantee_checker.cpp
        soak/http_client.cpp
        soak/jjq_fault_soak.cpp
        soak/server_stub.cpp
        soak/tcp_proxy.cpp
    DEPENDS jujubequay_platform)
target_include_directories(jjq-fault-soak PRIVATE ${PROJECT_SOURCE_DIR})
add_dependencies(jjq-fault-soak platform)

add_executable(soak_test
    soak/child_process.cpp
    soak/guarantee_checker.cpp
    soak/guarantee_checker_test.cpp
    soak/program_stop_test.cpp
    src/jujubequay/test_main.cpp)
target_compile_definitions(soak_test PRIVATE JUJUBEQUAY_PROGRAM_DIRECTORY="${CMAKE_BINARY_DIR}")
add_dependencies(soak_test platform)
target_include_directories(soak_test PRIVATE ${PROJECT_SOURCE_DIR})
target_link_libraries(soak_test PRIVATE jujubequay_core PkgConfig::cppunit)
add_test(NAME soak COMMAND soak_test)
# A short run with a fixed seed; `./dev fault-soak` makes longer ones.
add_test(NAME fault_soak
    COMMAND jjq-fault-soak --programs ${CMAKE_BINARY_DIR} --directory ${CMAKE_BINARY_DIR}/fault-soak --seconds 10 --seed 1)
set_tests_properties(soak fault_soak PROPERTIES TIMEOUT 120)

jujubequay_fuzz(platform-calls-fuzz SOURCES fuzz/platform_calls_fuzz.cpp DEPENDS jujubequay_platform)
jujubequay_fuzz(settings-fuzz SOURCES fuzz/settings_fuzz.cpp DEPENDS jujubequay_daemon)
