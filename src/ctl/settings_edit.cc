#include "src/ctl/settings_edit.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include "src/ctl/settings_applier.h"

namespace radishwing::ctl {

exit_code EditSettings(const command_context& context,
                       const settings_edit& edit,
                       const boost::json::object& shown) {
  result<settings_record> now = FetchSettings(*context.client);
  if (!Ok(now)) return Fail(context, Error(now));
  const settings_record& base = Value(now);
  if (base.revision == 0) {
    return Fail(context,
                {failure_kind::kNotFound, "no settings have been applied yet"});
  }
  auto made = settings::text_editor::Make("settings", base.text);
  if (made.index() == 1) {
    return FailWithFindings(context, std::get<1>(made));
  }
  settings::text_editor& editor = std::get<0>(made);
  result<done> edited = edit(editor);
  if (!Ok(edited)) return Fail(context, Error(edited));
  return settings_applier(context).Apply(
      {"settings", base.revision, base.text, editor.Text(), shown});
}

result<done> EnsureBranch(settings::text_editor& editor,
                          const std::string& name) {
  if (editor.Root().Find(name)) return done();
  return editor.Set(std::vector{name}, "{}");
}

std::string JsonText(std::string_view text) {
  return boost::json::serialize(boost::json::string(text.data(), text.size()));
}

}  // namespace radishwing::ctl
