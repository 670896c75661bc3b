#pragma once

#include <boost/asio/io_context.hpp>
#include <exception>
#include <functional>
#include <string_view>

namespace radishwing::node {

/// Runs the event loop until it stops or has no more work. An exception that a
/// handler throws ends only that handler: `on_error` gets its text and the loop
/// goes on. One malformed message thus does not end the process.
inline void RunContained(
    boost::asio::io_context& io,
    const std::function<void(std::string_view error)>& on_error) {
  while (true) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      on_error(error.what());
    } catch (...) {
      on_error("unknown exception");
    }
  }
}

}  // namespace radishwing::node
