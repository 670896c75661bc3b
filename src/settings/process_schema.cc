#include <vector>

#include "src/settings/process_settings.h"

namespace radishwing::settings {
namespace {

using enum field_type;

const field_schema kCommon[] = {
    {.name = "host",
     .type = kName,
     .required = true,
     .doc = "Name of the host this process runs on."},
    {.name = "data_centre",
     .type = kName,
     .required = true,
     .doc = "Data centre of the host."},
    {.name = "control_address",
     .type = kAddress,
     .required = true,
     .doc = "RPC address of the control on this host. A control listens on "
            "it, port 0 picks a free port; an entry connects to it."},
    {.name = "metrics_address",
     .type = kAddress,
     .default_value = "\"127.0.0.1:0\"",
     .doc = "Address of `/metrics`, `/healthz` and `/readyz`. Port 0 picks a "
            "free port."},
    {.name = "fleet_secret_file",
     .type = kPath,
     .quoted = false,
     .doc = "File with the secret that the fleet's processes share, 16 to "
            "4,096 bytes. Without it the environment's "
            "`RADISHWING_FLEET_SECRET` is used."},
    {.name = "log_level",
     .type = kChoice,
     .choices = "debug|info|warning|error",
     .default_value = "\"info\"",
     .doc = "Least severe level that is logged."},
    {.name = "balancer_delay_ms",
     .type = kCount,
     .unit = "ms",
     .maximum = 600'000,
     .default_value = "3000",
     .doc = "How long the load balancer may still send new work after "
            "readiness fails. A stop waits this long first."},
};

const field_schema kEntryOnly[] = {
    {.name = "caller_address",
     .type = kAddress,
     .required = true,
     .doc = "Address for callers' HTTP requests."},
};

const field_schema kControlOnly[] = {
    {.name = "operator_address",
     .type = kAddress,
     .required = true,
     .doc = "Address of the operator port."},
    {.name = "operator_secret_file",
     .type = kPath,
     .quoted = false,
     .doc = "File with the operators' secret, 16 to 4,096 bytes. Without it "
            "the environment's `RADISHWING_OPERATOR_SECRET` is used."},
    {.name = "platform_address",
     .type = kAddress,
     .required = true,
     .doc = "Address of the platform's HTTP interface."},
    {.name = "peers",
     .type = kAddresses,
     .default_value = "[]",
     .doc = "RPC addresses of other controls to contact first."},
};

std::vector<field_schema> Combine(std::span<const field_schema> rest) {
  std::vector<field_schema> rows(std::begin(kCommon), std::end(kCommon));
  rows.insert(rows.end(), rest.begin(), rest.end());
  return rows;
}

}  // namespace

std::span<const field_schema> ProcessSchema(daemon_kind daemon) {
  static const std::vector<field_schema> kEntry = Combine(kEntryOnly);
  static const std::vector<field_schema> kControl = Combine(kControlOnly);
  return daemon == daemon_kind::kEntry ? kEntry : kControl;
}

}  // namespace radishwing::settings
