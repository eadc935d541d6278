// Forward declarations of the settings package.
#pragma once

namespace zinnia {

struct service_settings;
struct effective_settings;
struct setting_descriptor;
struct link_declaration;
struct shift_intent;
struct upstream_declaration;
struct settings_document;
class settings_tree;

}  // namespace zinnia
