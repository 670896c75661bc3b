#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <string_view>

#include "src/base/result.h"
#include "src/control/operator_hooks.h"

namespace radishwing::control {

/// Parses the body of an operator's request: one JSON object without deep
/// nesting.
result<boost::json::object> ParseOperatorBody(std::string_view body);

/// Reads a proposal. The text is checked for findings by the caller.
result<settings_proposal> ReadProposal(const boost::json::object& body);

/// Reads a host order; `verb` is the last part of the path.
result<host_order> ReadHostOrder(const std::string& host,
                                 const std::string& verb,
                                 const boost::json::object& body);

/// Reads a whole number that is at least 1.
result<std::uint64_t> ReadRevision(std::string_view text);

/// A name of the log levels of the settings.
result<log_level> ReadLogLevel(const boost::json::object& body);

/// An entry of the history, with its text if it has one.
boost::json::object RevisionToJson(const settings_revision& revision);

boost::json::value HistoryToJson(const std::vector<settings_revision>& list);

boost::json::value ConfirmationsToJson(
    const std::vector<member_confirmation>& list);

}  // namespace radishwing::control
