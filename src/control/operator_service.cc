#include "src/control/operator_service.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "src/base/log.h"
#include "src/control/settings_record.h"

namespace radishwing::control {
namespace {

// Revisions kept besides the newest. A slot is reused, so that the history
// needs no deletes and stays bounded.
constexpr std::uint64_t kHistorySlots = 50;
constexpr const char* kHistoryPrefix = "settings-history/";

// A member that was silent for longer is taken for a host that was replaced.
constexpr millis kForgottenMs = 10 * 60 * 1000;

std::string HistoryKey(std::uint64_t revision) {
  return kHistoryPrefix + std::to_string(revision % kHistorySlots);
}

settings_revision Convert(const rpc::settings_text& text) {
  return {text.revision, text.change_id, text.author, text.text};
}

/// The settings of a store answer; revision 0 if the key does not exist.
result<rpc::settings_text> Decode(
    const result<std::optional<stored_value>>& found) {
  if (!Ok(found)) return Error(found);
  if (!Value(found).has_value()) return rpc::settings_text{};
  return DecodeSettings(Value(found)->value);
}

}  // namespace

operator_service::operator_service(clock now, const control_options& options,
                                   store_port& store, settings_keeper& keeper,
                                   peer_mesh& mesh)
    : clock_(std::move(now)),
      options_(options),
      store_(store),
      keeper_(keeper),
      mesh_(mesh),
      tasks_(*this) {}

template <typename T>
void operator_service::Complete(kj::Promise<result<T>> promise,
                                operator_completion<T> completion) {
  tasks_.add(promise.then(
      [completion](result<T> answer) { completion(std::move(answer)); },
      [completion](kj::Exception&& reason) {
        completion(
            failure{failure_kind::kTimeout, reason.getDescription().cStr()});
      }));
}

void operator_service::Status(json_completion completion) {
  boost::json::array members;
  for (const membership::member& row : mesh_.Rows()) {
    members.push_back(boost::json::object{
        {"host", row.host},
        {"data_centre", row.data_centre},
        {"state", membership::MemberStateName(row.state)},
        {"revision", row.settings_revision},
        {"table_version", row.host_epochs},
        {"silent_ms", mesh_.Members().SilentMs(row.host, clock_.Now())}});
  }
  completion(boost::json::value(boost::json::object{
      {"host", options_.host},
      {"data_centre", options_.data_centre},
      {"revision", keeper_.Revision()},
      {"store_silent_ms", clock_.Now() - store_.LastContactMs()},
      {"members", std::move(members)}}));
}

void operator_service::GetSettings(
    operator_completion<settings_revision> completion) {
  completion(Convert(keeper_.Text()));
}

void operator_service::ApplySettings(
    settings_proposal proposal,
    operator_completion<proposal_outcome> completion) {
  Complete(Propose(std::move(proposal)), std::move(completion));
}

kj::Promise<operator_service::outcome> operator_service::Propose(
    settings_proposal proposal) {
  return store_.Get(kSettingsKey)
      .then([this, proposal = std::move(proposal)](
                result<std::optional<stored_value>> found) mutable
            -> kj::Promise<outcome> {
        auto current = Decode(found);
        if (!Ok(current)) return outcome(Error(current));
        if (Value(current).revision != proposal.base_revision ||
            Value(current).change_id == proposal.change_id) {
          return Judge(proposal, Value(current));
        }
        const std::uint64_t expect =
            Value(found).has_value() ? Value(found)->version : 0;
        return KeepReplaced(Value(current))
            .then([this, proposal = std::move(proposal),
                   expect](result<done> kept) -> kj::Promise<outcome> {
              if (!Ok(kept)) {
                return outcome(failure{
                    failure_kind::kUnavailable,
                    "the history cannot be written: " + Error(kept).message});
              }
              return WriteHead(proposal, expect);
            });
      });
}

kj::Promise<result<done>> operator_service::KeepReplaced(
    const rpc::settings_text& replaced) {
  if (replaced.revision == 0) return result<done>(done{});
  const std::string key = HistoryKey(replaced.revision);
  const std::string value = EncodeSettings(replaced);
  return store_.Get(key).then([this, key,
                               value](result<std::optional<stored_value>> found)
                                  -> kj::Promise<result<done>> {
    if (!Ok(found)) return result<done>(Error(found));
    const auto& slot = Value(found);
    if (slot.has_value() && slot->value == value) {
      return result<done>(done{});
    }
    return store_.Put(key, value, slot.has_value() ? slot->version : 0, "")
        .then([value](result<put_answer> answer) -> result<done> {
          if (!Ok(answer)) return Error(answer);
          // Another operator's change of the same base keeps the same text.
          if (Value(answer).written || Value(answer).current.value == value) {
            return done{};
          }
          return failure{failure_kind::kConflict,
                         "another change is being written"};
        });
  });
}

kj::Promise<operator_service::outcome> operator_service::WriteHead(
    const settings_proposal& proposal, std::uint64_t expect) {
  rpc::settings_text next{proposal.base_revision + 1, proposal.text,
                          proposal.change_id, proposal.author};
  return store_.Put(kSettingsKey, EncodeSettings(next), expect, "")
      .then([this, proposal, next](result<put_answer> answer) -> outcome {
        if (!Ok(answer)) return Error(answer);
        if (Value(answer).written) return Judge(proposal, next);
        auto current = DecodeSettings(Value(answer).current.value);
        if (!Ok(current)) return Error(current);
        return Judge(proposal, Value(current));
      });
}

operator_service::outcome operator_service::Judge(
    const settings_proposal& proposal, const rpc::settings_text& current) {
  if (current.change_id != proposal.change_id) {
    return proposal_outcome(settings_conflict{Convert(current)});
  }
  LogInfo("settings",
          "change accepted, revision=" + std::to_string(current.revision) +
              " author=" + current.author);
  keeper_.Offer(current, "operator");
  return proposal_outcome(current.revision);
}

void operator_service::History(
    operator_completion<std::vector<settings_revision>> completion) {
  Complete<std::vector<settings_revision>>(
      store_.List(kHistoryPrefix)
          .then([this](result<stored_values> listed)
                    -> result<std::vector<settings_revision>> {
            if (!Ok(listed)) return Error(listed);
            std::vector<settings_revision> revisions;
            if (keeper_.Revision() > 0) {
              revisions.push_back(Convert(keeper_.Text()));
            }
            for (const stored_value& item : Value(listed).items) {
              auto old = DecodeSettings(item.value);
              if (!Ok(old) || Value(old).revision >= keeper_.Revision()) {
                continue;
              }
              revisions.push_back(Convert(Value(old)));
            }
            for (settings_revision& revision : revisions) {
              revision.text.clear();
            }
            std::sort(revisions.begin(), revisions.end(),
                      [](const auto& a, const auto& b) {
                        return a.revision > b.revision;
                      });
            return revisions;
          }),
      std::move(completion));
}

void operator_service::SettingsAt(
    std::uint64_t revision, operator_completion<settings_revision> completion) {
  if (revision == keeper_.Revision() && revision > 0) {
    return completion(Convert(keeper_.Text()));
  }
  Complete<settings_revision>(
      store_.Get(HistoryKey(revision))
          .then([revision](result<std::optional<stored_value>> found)
                    -> result<settings_revision> {
            auto old = Decode(found);
            if (!Ok(old)) return Error(old);
            if (Value(old).revision != revision) {
              return failure{failure_kind::kNotFound,
                             "revision " + std::to_string(revision) +
                                 " is not kept any more"};
            }
            return Convert(Value(old));
          }),
      std::move(completion));
}

bool operator_service::MayServe(const membership::member& row) const {
  if (row.state == membership::member_state::kLeft) return false;
  return mesh_.Members().SilentMs(row.host, clock_.Now()) < kForgottenMs;
}

void operator_service::Confirmations(
    operator_completion<std::vector<member_confirmation>> completion) {
  std::vector<member_confirmation> rows;
  for (const membership::member& row : mesh_.Rows()) {
    if (!MayServe(row)) continue;
    const millis silent = mesh_.Members().SilentMs(row.host, clock_.Now());
    rows.push_back({row.host, row.settings_revision,
                    static_cast<std::uint64_t>(std::max<millis>(0, silent))});
  }
  completion(std::move(rows));
}

void operator_service::taskFailed(kj::Exception&& exception) {
  LogError("operator", std::string("task failed, reason=") +
                           exception.getDescription().cStr());
}

}  // namespace radishwing::control
