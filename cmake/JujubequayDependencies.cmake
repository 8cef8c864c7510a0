find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Protobuf REQUIRED)
find_package(fmt REQUIRED)
find_package(benchmark REQUIRED)
find_package(nlohmann_json REQUIRED)

pkg_check_modules(sodium REQUIRED IMPORTED_TARGET libsodium)
pkg_check_modules(xxhash REQUIRED IMPORTED_TARGET libxxhash)
pkg_check_modules(nghttp2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(ngtcp2 REQUIRED IMPORTED_TARGET libngtcp2 libngtcp2_crypto_gnutls)
pkg_check_modules(gnutls REQUIRED IMPORTED_TARGET gnutls)
pkg_check_modules(cppunit REQUIRED IMPORTED_TARGET cppunit)

# Debian has no static library of fmt, and the shared library of fmt would load a second copy of the C++ standard library.
add_library(jujubequay_fmt INTERFACE)
target_link_libraries(jujubequay_fmt INTERFACE $<IF:$<BOOL:${JUJUBEQUAY_STATIC_LIBRARIES}>,fmt::fmt-header-only,fmt::fmt>)

# Standalone Asio is a header-only library.
add_library(asio INTERFACE)
target_compile_definitions(asio INTERFACE ASIO_STANDALONE ASIO_NO_DEPRECATED)
target_link_libraries(asio INTERFACE Threads::Threads OpenSSL::SSL OpenSSL::Crypto)

# http_parser has neither a CMake package nor a pkg-config file.
find_path(HTTP_PARSER_INCLUDE_DIR http_parser.h REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
add_library(http_parser INTERFACE)
target_include_directories(http_parser INTERFACE ${HTTP_PARSER_INCLUDE_DIR})
target_link_libraries(http_parser INTERFACE ${HTTP_PARSER_LIBRARY})
