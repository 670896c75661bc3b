#include "src/ctl/command_tree.h"

#include <CLI/CLI.hpp>

#include "src/ctl/completion.h"
#include "src/ctl/host_commands.h"
#include "src/ctl/job_commands.h"
#include "src/ctl/settings_commands.h"
#include "src/ctl/status_commands.h"
#include "src/ctl/team_commands.h"
#include "src/ctl/wave_commands.h"
#include "src/settings/field_schema.h"
#include "src/settings/schema_page.h"

namespace radishwing::ctl {
namespace {

/// Adds commands to one parent and notes which one was selected.
class command_adder {
 public:
  command_adder(CLI::App* parent, selected_command& selected)
      : parent_(parent), selected_(selected) {}

  CLI::App* Group(const std::string& name, const std::string& doc) {
    CLI::App* group = parent_->add_subcommand(name, doc);
    group->require_subcommand(1);
    return group;
  }

  CLI::App* Add(const std::string& name, const std::string& doc,
                app_command run,
                command_needs needs = command_needs::kControl) {
    CLI::App* added = parent_->add_subcommand(name, doc);
    added->callback([this_selected = &selected_, run, needs] {
      *this_selected = selected_command{run, needs};
    });
    return added;
  }

 private:
  CLI::App* parent_;
  selected_command& selected_;
};

// Names go into paths and queries, so nothing that needs an escape is taken.
const CLI::Validator kName(
    [](std::string& text) {
      return settings::IsName(text) ? std::string()
                                    : "\"" + text +
                                          "\" is not 1 to 64 characters of "
                                          "A-Z a-z 0-9 . _ -";
    },
    "NAME");

CLI::Option* AddName(CLI::App* command, const std::string& name,
                     std::string& value, const std::string& doc) {
  return command->add_option(name, value, doc)->required()->check(kName);
}

void AddSettings(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* group = command_adder(&app, selected)
                        .Group("settings", "The fleet's settings tree");
  command_adder add(group, selected);
  add.Add(
         "check", "Check files, without a control",
         [&o](const command_context& c) { return CheckSettings(c, o.files); },
         command_needs::kNothing)
      ->add_option("file", o.files, "Files to check")
      ->required();
  add.Add("diff", "Differences between the settings in force and a file",
          [&o](const command_context& c) { return DiffSettings(c, o.file); })
      ->add_option("file", o.file)
      ->required();
  CLI::App* apply =
      add.Add("apply", "Apply a file and wait until every member has confirmed",
              [&o](const command_context& c) {
                return ApplySettings(c, o.file, o.base_revision);
              });
  apply->add_option("file", o.file)->required();
  apply->add_option(
      "--base", o.base_revision,
      "Revision the file was made from; needed once there are settings");
  add.Add("get", "Print the settings in force, or an older revision",
          [&o](const command_context& c) { return GetSettings(c, o.revision); })
      ->add_option("--revision", o.revision, "Revision from the history");
  add.Add("history", "Revisions with authors and change ids", ShowHistory);
  add.Add(
      "schema", "Print the reference page of all settings",
      [](const command_context& c) {
        *c.out << settings::SchemaPage();
        return exit_code::kDone;
      },
      command_needs::kNothing);
}

void AddTeam(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* group =
      command_adder(&app, selected).Group("team", "Teams and their API keys");
  command_adder add(group, selected);
  CLI::App* added = add.Add("add", "Add a team", [&o](const auto& c) {
    return AddTeam(c, o.team, o.share, o.upper_limit);
  });
  AddName(added, "team", o.team, "Name of the team");
  added->add_option("--share", o.share, "Part of a full fleet, 0 to 1");
  added->add_option("--limit", o.upper_limit, "Upper limit")->required();
  CLI::App* share = add.Add("set-share", "Change a share", [&o](const auto& c) {
    return SetTeamShare(c, o.team, o.share);
  });
  AddName(share, "team", o.team, "Name of the team");
  share->add_option("share", o.share, "0 to 1")->required();
  CLI::App* limit = add.Add(
      "set-limit", "Change an upper limit",
      [&o](const auto& c) { return SetTeamLimit(c, o.team, o.upper_limit); });
  AddName(limit, "team", o.team, "Name of the team");
  limit->add_option("limit", o.upper_limit, "1 to 100000")->required();
  CLI::App* grant = add.Add(
      "grant-key", "Make a key and print it once; only its hash is stored",
      [&o](const auto& c) { return GrantKey(c, o.team, o.key_id); });
  CLI::App* withdraw =
      add.Add("withdraw-key", "Remove a key",
              [&o](const auto& c) { return WithdrawKey(c, o.team, o.key_id); });
  for (CLI::App* command : {grant, withdraw}) {
    AddName(command, "team", o.team, "Name of the team");
    AddName(command, "id", o.key_id, "Name of the key");
  }
}

void AddPool(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* group =
      command_adder(&app, selected).Group("pool", "Pools of hosts");
  command_adder add(group, selected);
  add.Add("list", "All pools", ShowPools);
  AddName(add.Add("show", "One pool",
                  [&o](const auto& c) { return ShowPool(c, o.pool); }),
          "pool", o.pool, "Name of the pool");
  CLI::App* move =
      add.Add("move-host", "Move a host to another pool",
              [&o](const auto& c) { return MoveHost(c, o.host, o.pool); });
  AddName(move, "host", o.host, "Name of the host");
  AddName(move, "pool", o.pool, "Pool that receives it");
}

void AddHost(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* group = command_adder(&app, selected).Group("host", "Single hosts");
  command_adder add(group, selected);
  add.Add("list", "All hosts", ShowHosts);
  AddName(add.Add("show", "One host",
                  [&o](const auto& c) { return ShowHost(c, o.host); }),
          "host", o.host, "Name of the host");
  AddName(
      add.Add("drain", "Stop new work and wait for the running work",
              [&o](const auto& c) { return OrderHost(c, o.host, "drain"); }),
      "host", o.host, "Name of the host");
  AddName(
      add.Add("return", "Take a host back into service",
              [&o](const auto& c) { return OrderHost(c, o.host, "return"); }),
      "host", o.host, "Name of the host");
}

void AddWave(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* group =
      command_adder(&app, selected).Group("wave", "Maintenance waves");
  command_adder add(group, selected);
  add.Add("list", "Progress of all waves", ShowWaves);
  AddName(add.Add("show", "Progress of one wave",
                  [&o](const auto& c) { return ShowWave(c, o.wave); }),
          "wave", o.wave, "Name of the wave");
  CLI::App* plan = add.Add("plan", "Add a wave", [&o](const auto& c) {
    return PlanWave(c, o.wave, o.pools, o.kind);
  });
  AddName(plan, "wave", o.wave, "Name of the wave");
  plan->add_option("--pool", o.pools, "Pool; repeat for more; default all")
      ->check(kName);
  plan->add_option("--kind", o.kind)->check(CLI::IsMember({"kernel", "move"}));
  for (const std::string order : {"start", "pause", "resume", "abort"}) {
    AddName(add.Add(order, "Change the state of a wave",
                    [&o, order](const auto& c) {
                      return OrderWave(c, o.wave, order);
                    }),
            "wave", o.wave, "Name of the wave");
  }
}

void AddJobs(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* group =
      command_adder(&app, selected).Group("jobs", "Long-running work");
  command_adder add(group, selected);
  add.Add("list", "Jobs that have not ended", ShowJobs);
  AddName(add.Add("show", "One job",
                  [&o](const auto& c) { return ShowJob(c, o.job); }),
          "job", o.job, "Id of the job");
  AddName(add.Add("cancel", "Cancel a job",
                  [&o](const auto& c) { return CancelJob(c, o.job); }),
          "job", o.job, "Id of the job");
}

void AddExplain(CLI::App& app, app_options& o, selected_command& selected) {
  CLI::App* explain = command_adder(&app, selected)
                          .Add("explain",
                               "Why a request, host or team is treated as it "
                               "is",
                               [&o](const command_context& c) {
                                 if (!o.host.empty()) {
                                   return Explain(c, "host", o.host);
                                 }
                                 if (!o.team.empty()) {
                                   return Explain(c, "team", o.team);
                                 }
                                 return Explain(c, "request", o.request);
                               });
  CLI::Option_group* choice = explain->add_option_group("subject");
  choice->add_option("--request", o.request, "Request id")->check(kName);
  choice->add_option("--host", o.host, "Host")->check(kName);
  choice->add_option("--team", o.team, "Team")->check(kName);
  choice->require_option(1);
}

}  // namespace

void AddGlobalOptions(CLI::App& app, app_options& options) {
  app.add_option("--control", options.controls,
                 "Operator port of a control, \"ip:port\"; repeat for more");
  app.add_option("--operator-secret-file", options.secret_file,
                 "File with the operator secret");
  app.add_option("--output", options.output, "table or json")
      ->check(CLI::IsMember({"table", "json"}));
  app.add_option("--author", options.author, "Name in the history");
  app.add_flag("--dry-run", options.dry_run,
               "Show what would change, change nothing");
  app.add_option("--wait-seconds", options.wait_seconds,
                 "How long to wait until a change is in force everywhere")
      ->check(CLI::Range(0, 3600));
  app.fallthrough();
}

void AddCommands(CLI::App& app, app_options& options,
                 selected_command& command) {
  app.require_subcommand(1);
  AddSettings(app, options, command);
  AddTeam(app, options, command);
  AddPool(app, options, command);
  AddHost(app, options, command);
  AddWave(app, options, command);
  AddJobs(app, options, command);
  command_adder(&app, command)
      .Add("status", "The control that answers and its members", ShowStatus);
  AddExplain(app, options, command);
  CLI::App* completion =
      command_adder(&app, command)
          .Add(
              "completion", "Print the completion script of a shell",
              [&app](const command_context& c) {
                *c.out << BashCompletion(app);
                return exit_code::kDone;
              },
              command_needs::kNothing);
  completion->add_option("shell", options.kind)
      ->required()
      ->check(CLI::IsMember({"bash"}));
}

}  // namespace radishwing::ctl
