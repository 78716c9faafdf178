# Compiler settings shared by all targets.
add_library(endivedoor_options INTERFACE)
# g++ 12 reports false positives of -Wrestrict and -Wmaybe-uninitialized in std::string and coroutines.
target_compile_options(endivedoor_options INTERFACE -Wall -Wextra -Wpedantic -Werror
                       -Wno-restrict -Wno-maybe-uninitialized)
target_compile_definitions(endivedoor_options INTERFACE BOOST_ASIO_NO_DEPRECATED
                           BOOST_ASIO_DISABLE_VISIBILITY)

# endivedoor_package(NAME [LINK libraries...]) declares the static library endivedoor_NAME with the
# sources in packages/NAME/src and the public headers in packages/NAME/include.
function(endivedoor_package name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp
       ${CMAKE_CURRENT_SOURCE_DIR}/src/*.pb.cc ${CMAKE_CURRENT_SOURCE_DIR}/src/detail/*.cpp)
  add_library(endivedoor_${name} STATIC ${sources})
  target_include_directories(endivedoor_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_include_directories(endivedoor_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(endivedoor_${name} PUBLIC ${ARG_LINK} endivedoor_options)
endfunction()
