#pragma once

#include <boost/beast/http/verb.hpp>
#include <functional>
#include <string>
#include <vector>

#include "src/control/operator_router.h"
#include "src/ctl/operator_client.h"

namespace radishwing::ctl {

/// The settings part of a control, in memory, behind the real router. Calls
/// reach it without a network.
class fake_control {
 public:
  enum class answer { kSent, kLostAfterWrite, kLostBeforeWrite };

  explicit fake_control(std::string text) {
    history.push_back({1, "first", "anna", std::move(text)});
  }

  /// Writes a change of somebody else.
  void Write(std::string change_id, std::string author, std::string text) {
    history.push_back({Revision() + 1, std::move(change_id), std::move(author),
                       std::move(text)});
  }

  std::uint64_t Revision() const {
    return history.empty() ? 0 : history.back().revision;
  }

  operator_transport Transport() {
    return [this](const std::string&, const operator_request& request,
                  const settings::secret_text&) { return Answer(request); };
  }

  std::vector<control::settings_revision> history;
  std::vector<control::member_confirmation> members;
  answer next_answer = answer::kSent;
  std::function<void()> after_loss;  ///< Runs when an answer was lost.
  int posts = 0;

 private:
  result<raw_reply> Answer(const operator_request& request) {
    const bool post = request.method == "POST";
    if (post) ++posts;
    const answer mode = post ? next_answer : answer::kSent;
    raw_reply reply;
    if (mode != answer::kLostBeforeWrite) reply = Route(request);
    if (mode == answer::kSent) return reply;
    if (after_loss) after_loss();
    return failure{failure_kind::kTimeout, "fake: no answer"};
  }

  raw_reply Route(const operator_request& request) {
    http::server_request routed;
    routed.method = boost::beast::http::string_to_verb(request.method);
    routed.target = Value(http::ParseTarget(request.target));
    routed.body = request.body;
    raw_reply reply;
    control::operator_router(Hooks()).Handle(
        routed, [&](const http::server_response& response) {
          reply = {static_cast<int>(response.status), response.body};
        });
    return reply;
  }

  control::operator_hooks Hooks() {
    control::operator_hooks hooks;
    hooks.get_settings = [this](auto done) {
      if (history.empty())
        return done(failure{failure_kind::kNotFound, "none"});
      done(history.back());
    };
    hooks.settings_history = [this](auto done) { done(history); };
    hooks.settings_at = [this](std::uint64_t revision, auto done) {
      done(history.at(revision - 1));
    };
    hooks.confirmations = [this](std::uint64_t, auto done) { done(members); };
    hooks.apply_settings = [this](control::settings_proposal p, auto done) {
      if (p.base_revision != Revision()) {
        return done(control::settings_conflict{history.back()});
      }
      Write(p.change_id, p.author, p.text);
      done(history.back().revision);
    };
    return hooks;
  }
};

}  // namespace radishwing::ctl
