set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

option(JUJUBEQUAY_SANITIZE "Build with the address and undefined behaviour sanitizers" OFF)
option(JUJUBEQUAY_STATIC_LIBRARIES "Link static libraries where they are available, except for the C library" OFF)
option(JUJUBEQUAY_FUZZ "Build the fuzz targets with libFuzzer (needs clang++)" OFF)

add_compile_options(-Wall -Wextra -Wno-missing-field-initializers)
if(JUJUBEQUAY_SANITIZE)
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=undefined)
    add_link_options(-fsanitize=address,undefined)
endif()
if(JUJUBEQUAY_FUZZ)
    add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined)
    add_link_options(-fsanitize=address,undefined)
endif()
# Binding symbols of shared libraries takes nine tenths of the instructions of a program start. Static libraries avoid this on hosts that
# have only a twentieth of a core and start slowly.
if(JUJUBEQUAY_STATIC_LIBRARIES)
    list(PREPEND CMAKE_FIND_LIBRARY_SUFFIXES .a)
    set(OPENSSL_USE_STATIC_LIBS TRUE)
    add_link_options(-static-libstdc++ -static-libgcc)
endif()
