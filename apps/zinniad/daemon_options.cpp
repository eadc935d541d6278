// Boost.Program_options with a table of numeric settings, so that each has a range.
#include "daemon_options.hpp"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <sstream>

namespace zinnia {
namespace impl {
namespace {

namespace po = boost::program_options;

constexpr const char* version_text = "zinniad 0.2.0\n";
const std::string environment_prefix = "ZINNIA_";
constexpr std::int64_t highest_port = 65'535;

struct number_option {
  const char* name;
  const char* initial;
  std::int64_t lowest;
  std::int64_t highest;
  const char* help;
  /// Whether a settings file gives the value instead.
  bool from_file;
  void (*assign)(node_settings&, std::int64_t);
};

constexpr std::array<number_option, 8> number_options{{
    {"peer-port", "7100", 1, highest_port, "UDP port for heartbeats between nodes", true,
     [](node_settings& s, std::int64_t v) { s.peer_port = static_cast<std::uint16_t>(v); }},
    {"stop-limit-ms", "6000", 3000, 3'600'000, "longest graceful stop", true,
     [](node_settings& s, std::int64_t v) { s.stop_limit = {v}; }},
    {"drain-limit-ms", "2500", 0, 3'600'000, "time within which a leaving backend server gets nothing more",
     true, [](node_settings& s, std::int64_t v) { s.drain_limit = {v}; }},
    {"retry-percent", "20", 0, 100, "repeats of all nodes for each hundred requests", true,
     [](node_settings& s, std::int64_t v) { s.retry_budget.ratio = static_cast<double>(v) / 100; }},
    {"max-descriptors", "1024", 300, 1'000'000, "file descriptors of the process", true,
     [](node_settings& s, std::int64_t v) { s.max_descriptors = static_cast<std::size_t>(v); }},
    {"cpu-milli", "1000", 1, 1'000'000, "processor time of this VM, in thousandths of a core", true,
     [](node_settings& s, std::int64_t v) { s.capacity.cpu_milli = static_cast<int>(v); }},
    {"link-kbit", "1000000", 1, 1'000'000'000, "the VM's link, in kbit/s each way", true,
     [](node_settings& s, std::int64_t v) { s.capacity.link_kbit = static_cast<int>(v); }},
    {"fate-records", "1000", 0, 10'000'000, "finished requests kept in memory for questions", false,
     [](node_settings& s, std::int64_t v) { s.fate_records = static_cast<std::size_t>(v); }},
}};

struct address_option {
  const char* name;
  const char* initial;
  const char* help;
  ip_endpoint node_settings::*member;
};

constexpr std::array<address_option, 5> address_options{{
    {"listen-callers", "127.0.0.1:7300", "ip:port for callers", &node_settings::caller_endpoint},
    {"listen-ready", "127.0.0.1:7301", "ip:port for readiness checks", &node_settings::readiness_endpoint},
    {"listen-directory", "127.0.0.1:7302", "ip:port for questions where to connect",
     &node_settings::directory_endpoint},
    {"listen-operators", "127.0.0.1:7303", "ip:port for metrics and operators",
     &node_settings::operator_endpoint},
    {"store", "", "platform's store, ip:port; required", &node_settings::store_endpoint},
}};

[[nodiscard]] po::options_description describe() {
  po::options_description all{
      "zinniad: an entry VM of zinniafield.\nEach option can be given as an environment variable too: "
      "--store as ZINNIA_STORE; the flag wins.\nWhere the platform gives a settings file, only --tree, "
      "--log-level and --fate-records are taken"};
  auto add = all.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("tree", po::value<std::string>()->default_value(""),
      "file of the settings tree until the store has one");
  add("log-level", po::value<std::string>()->default_value("info"), "debug, info, warn or error");
  add("node", po::value<std::string>()->default_value(""), "name of this entry VM; required");
  add("region", po::value<std::string>()->default_value(""), "region of this VM; required");
  add("domain", po::value<std::string>()->default_value(""), "failure domain of this VM; required");
  for (const auto& option : address_options) {
    add(option.name, po::value<std::string>()->default_value(option.initial), option.help);
  }
  for (const auto& option : number_options) {
    std::ostringstream help;
    help << option.help << "; " << option.lowest << " to " << option.highest;
    add(option.name, po::value<std::string>()->default_value(option.initial), help.str().c_str());
  }
  return all;
}

[[nodiscard]] error bad(const std::string& name, const std::string& value, const std::string& allowed) {
  return {reason::invalid_setting, name + ": '" + value + "' is not allowed; allowed: " + allowed, ""};
}

[[nodiscard]] bool is_name(const std::string& text) {
  constexpr std::size_t longest_name = 64;
  return !text.empty() && text.size() <= longest_name &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
         });
}

[[nodiscard]] std::string read_name(const po::variables_map& given, const char* name) {
  auto text = given[name].as<std::string>();
  if (!is_name(text)) {
    throw bad(name, text, "1 to 64 letters, digits, '-' or '_'");
  }
  return text;
}

[[nodiscard]] ip_endpoint read_address(const po::variables_map& given, const char* name) {
  const auto text = given[name].as<std::string>();
  const auto parsed = parse_endpoint(text);
  if (!parsed) {
    throw bad(name, text, "ip:port with a port of 0 to 65535");
  }
  return *parsed;
}

void read_number(const po::variables_map& given, const number_option& option, node_settings& settings) {
  const auto text = given[option.name].as<std::string>();
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
  if (!whole || value < option.lowest || value > option.highest) {
    throw bad(option.name, text, std::to_string(option.lowest) + " to " + std::to_string(option.highest));
  }
  option.assign(settings, value);
}

void read_common(const po::variables_map& given, node_settings& settings) {
  settings.tree_file = given["tree"].as<std::string>();
  settings.log_level = given["log-level"].as<std::string>();
  const std::array<std::string, 4> levels{"debug", "info", "warn", "error"};
  if (std::find(levels.begin(), levels.end(), settings.log_level) == levels.end()) {
    throw bad("log-level", settings.log_level, "debug, info, warn, error");
  }
}

[[nodiscard]] node_settings read_all(const po::variables_map& given) {
  node_settings settings;
  read_common(given, settings);
  settings.node = node_id{read_name(given, "node")};
  settings.own_location = {failure_domain_id{read_name(given, "domain")},
                           region_id{read_name(given, "region")}};
  for (const auto& option : address_options) {
    settings.*(option.member) = read_address(given, option.name);
  }
  settings.ip = settings.caller_endpoint.ip;
  for (const auto& option : number_options) {
    read_number(given, option, settings);
  }
  return settings;
}

/// Adds to a settings file's values; options that the file replaces must not be given.
[[nodiscard]] node_settings read_beside_file(const po::variables_map& given, const node_settings& base) {
  node_settings settings = base;
  read_common(given, settings);
  for (const auto& [name, value] : given) {
    const bool taken = name == "tree" || name == "log-level" || name == "fate-records";
    if (!taken && !value.defaulted() && name != "help" && name != "version") {
      throw bad(name, value.as<std::string>(), "nothing, as the settings file gives it");
    }
  }
  for (const auto& option : number_options) {
    if (!option.from_file) {
      read_number(given, option, settings);
    }
  }
  return settings;
}

/// ZINNIA_STORE names the option store; other variables are none of ours.
[[nodiscard]] std::string option_of_variable(const po::options_description& all,
                                             const std::string& variable) {
  if (!variable.starts_with(environment_prefix)) {
    return {};
  }
  auto name = variable.substr(environment_prefix.size());
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
    return letter == '_' ? '-' : static_cast<char>(std::tolower(letter));
  });
  if (all.find_nothrow(name, false) == nullptr) {
    throw bad(variable, "", "the name of an option, see --help");
  }
  return name;
}

}  // namespace
}  // namespace impl

result<parsed_options> parse_daemon_options(int argc, const char* const* argv,
                                            const std::optional<node_settings>& base) {
  const auto all = impl::describe();
  try {
    impl::po::variables_map given;
    impl::po::store(impl::po::parse_command_line(argc, argv, all), given);
    impl::po::store(
        impl::po::parse_environment(
            all, [&all](const std::string& variable) { return impl::option_of_variable(all, variable); }),
        given);
    impl::po::notify(given);
    if (given.contains("help")) {
      std::ostringstream text;
      text << all;
      return parsed_options{std::nullopt, text.str()};
    }
    if (given.contains("version")) {
      return parsed_options{std::nullopt, impl::version_text};
    }
    return parsed_options{base ? impl::read_beside_file(given, *base) : impl::read_all(given), {}};
  } catch (const error& cause) {
    return cause;
  } catch (const impl::po::error& cause) {
    return error{reason::invalid_setting, cause.what(), ""};
  }
}

}  // namespace zinnia
