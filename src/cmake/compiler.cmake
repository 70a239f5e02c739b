set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
# Static libraries are compiled without waiting for the libraries that they depend on; only linking a program needs
# those.
set(CMAKE_OPTIMIZE_DEPENDENCIES ON)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
# GCC 12 reports false positives of the three disabled kinds inside inlined coroutine frames and Boost headers.
add_compile_options(-Wall -Wextra -Werror -Wno-dangling-pointer -Wno-maybe-uninitialized -Wno-mismatched-new-delete)

# SANITIZE: empty, "address,undefined" or "thread".
set(SANITIZE "" CACHE STRING "Sanitizers to build with")
if(SANITIZE)
  add_compile_options(-fsanitize=${SANITIZE} -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${SANITIZE})
endif()
