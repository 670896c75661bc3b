#include "src/settings/text_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace radishwing::settings {

result<std::string> ReadTextFile(const std::string& file, std::size_t limit) {
  errno = 0;
  std::ifstream stream(file, std::ios::binary);
  std::string text(limit + 1, '\0');
  if (stream) stream.read(text.data(), static_cast<long>(text.size()));
  if (!stream.is_open() || stream.bad()) {
    return failure{failure_kind::kNotFound,
                   file + ": cannot read: " + std::strerror(errno)};
  }
  text.resize(static_cast<std::size_t>(stream.gcount()));
  if (text.size() > limit) {
    return failure{failure_kind::kInvalid,
                   file + ": larger than " + std::to_string(limit) + " bytes"};
  }
  return text;
}

}  // namespace radishwing::settings
