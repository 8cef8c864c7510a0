# The adapter to the users' platform and its programs.
add_library(jujubequay_platform STATIC
    platform/calls.cpp
    platform/http_api.cpp
    platform/packet_format.cpp
    platform/program.cpp)
target_include_directories(jujubequay_platform PUBLIC ${PROJECT_SOURCE_DIR})
target_link_libraries(jujubequay_platform PUBLIC jujubequay_steering_program nlohmann_json::nlohmann_json)

jujubequay_program(jjq-platform-balancer SOURCES platform/jjq_platform_balancer.cpp DEPENDS jujubequay_platform)
jujubequay_program(jjq-platform-agent SOURCES platform/jjq_platform_agent.cpp DEPENDS jujubequay_platform)
jujubequay_program(jjq-platform-control SOURCES platform/jjq_platform_control.cpp DEPENDS jujubequay_platform)
add_custom_target(platform DEPENDS jjq-platform-balancer jjq-platform-agent jjq-platform-control)

add_executable(platform_test platform/platform_test.cpp src/jujubequay/test_main.cpp)
target_link_libraries(platform_test PRIVATE jujubequay_platform PkgConfig::cppunit)
add_test(NAME platform COMMAND platform_test)
set_tests_properties(platform PROPERTIES TIMEOUT 300)
