#include "src/base/log.h"

#include <easylogging++.h>

#include <atomic>
#include <string>

namespace radishwing {
namespace {

std::atomic<log_level> minimum_level{log_level::kInfo};

}  // namespace

void ConfigureLogs(std::string_view program, log_level minimum) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format,
                            "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level " +
                                std::string(program) + " %msg");
  el::Loggers::reconfigureAllLoggers(configuration);
  SetLogLevel(minimum);
}

void SetLogLevel(log_level minimum) { minimum_level = minimum; }

void Log(log_level level, std::string_view component,
         std::string_view message) {
  if (level < minimum_level.load(std::memory_order_relaxed)) return;
  switch (level) {
    case log_level::kDebug:
      LOG(DEBUG) << component << ": " << message;
      break;
    case log_level::kInfo:
      LOG(INFO) << component << ": " << message;
      break;
    case log_level::kWarning:
      LOG(WARNING) << component << ": " << message;
      break;
    case log_level::kError:
      LOG(ERROR) << component << ": " << message;
      break;
  }
}

}  // namespace radishwing
