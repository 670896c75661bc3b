#pragma once

#include <string_view>
#include <vector>

#include "src/base/result.h"
#include "tools/platform_fake/fake_host.h"

namespace radishwing::platform_fake {

/// Parses `{"hosts":[{"host","data_centre","rack","cores","memory_mb",
/// "accelerators","fails_tasks"}]}`; only the first three are required.
result<std::vector<fake_host>> ParseHosts(std::string_view text);

}  // namespace radishwing::platform_fake
