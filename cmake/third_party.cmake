# Compiles Asio, Beast, Boost.URL, Boost.JSON and easylogging++ once, so that the
# project's sources include declarations only.
add_library(third_party_asio STATIC cmake/asio_impl.cc cmake/url_impl.cc)
target_compile_definitions(third_party_asio PUBLIC BOOST_ASIO_SEPARATE_COMPILATION
  BOOST_BEAST_SEPARATE_COMPILATION BOOST_ASIO_NO_DEPRECATED
  BOOST_ASIO_DISABLE_CONCEPTS)
target_link_libraries(third_party_asio PUBLIC Boost::headers Threads::Threads)

add_library(third_party_json STATIC cmake/json_impl.cc)
target_link_libraries(third_party_json PUBLIC Boost::headers)

find_path(EASYLOGGINGPP_DIR easylogging++.cc REQUIRED)
add_library(third_party_log STATIC ${EASYLOGGINGPP_DIR}/easylogging++.cc
  cmake/log_impl.cc)
# Hosts have no disks, so easylogging++ must not create its default log file.
target_compile_definitions(third_party_log PUBLIC ELPP_THREAD_SAFE
  ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_options(third_party_log PRIVATE -w)
target_include_directories(third_party_log SYSTEM PUBLIC ${EASYLOGGINGPP_DIR})
