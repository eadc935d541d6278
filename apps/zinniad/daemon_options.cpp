// Parses the options with Boost.Program_options. Tables list the numeric options, each with its range, and
// the address options.
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
constexpr std::int64_t max_port = 65'535;

struct number_option {
  const char* name;
  const char* default_text;
  std::int64_t min_value;
  std::int64_t max_value;
  const char* help;
  /// If there is a settings file, it sets this value and the option is refused.
  bool is_set_by_file;
  void (*assign)(node_settings&, std::int64_t);
};

constexpr std::array<number_option, 11> number_options{{
    {"peer-port", "7100", 1, max_port, "UDP port for heartbeats between nodes", true,
     [](node_settings& s, std::int64_t v) { s.peer_port = static_cast<std::uint16_t>(v); }},
    {"notice-port", "0", 0, max_port, "UDP port for notices about objects; 0 for any free port", true,
     [](node_settings& s, std::int64_t v) { s.notice_port = static_cast<std::uint16_t>(v); }},
    {"forward-port", "0", 0, max_port, "TCP port for requests that other nodes forward; 0 for any free port",
     true, [](node_settings& s, std::int64_t v) { s.forward_port = static_cast<std::uint16_t>(v); }},
    {"stop-limit-ms", "6000", 3000, 3'600'000, "time limit of a graceful stop, in ms", true,
     [](node_settings& s, std::int64_t v) { s.stop_limit = {v}; }},
    {"drain-limit-ms", "2500", 0, 3'600'000,
     "time limit until a leaving backend server gets no more requests, in ms", true,
     [](node_settings& s, std::int64_t v) { s.drain_limit = {v}; }},
    {"retry-percent", "20", 0, 100, "retries of all nodes together per 100 requests", true,
     [](node_settings& s, std::int64_t v) { s.retry_budget.ratio = static_cast<double>(v) / 100; }},
    {"max-descriptors", "1024", 300, 1'000'000, "limit of file descriptors of the process", true,
     [](node_settings& s, std::int64_t v) { s.max_descriptors = static_cast<std::size_t>(v); }},
    {"memory-mb", "256", min_memory_mb, max_memory_mb,
     "memory that the process may use, in MB of 1,000,000 bytes", true,
     [](node_settings& s, std::int64_t v) { s.memory_limit = static_cast<std::size_t>(v) * bytes_per_mb; }},
    {"cpu-milli", "1000", 1, 1'000'000, "CPU capacity of this VM, in thousandths of a core", true,
     [](node_settings& s, std::int64_t v) { s.capacity.cpu_milli = static_cast<int>(v); }},
    {"link-kbit", "1000000", 1, 1'000'000'000, "link capacity of this VM in each direction, in kbit/s", true,
     [](node_settings& s, std::int64_t v) { s.capacity.link_kbit = static_cast<int>(v); }},
    {"fate-records", "1000", 0, 10'000'000, "finished requests kept in memory for fate queries", false,
     [](node_settings& s, std::int64_t v) { s.fate_records = static_cast<std::size_t>(v); }},
}};

struct address_option {
  const char* name;
  const char* default_text;
  const char* help;
  ip_endpoint node_settings::*member;
};

constexpr std::array<address_option, 5> address_options{{
    {"listen-callers", "127.0.0.1:7300", "ip:port for callers", &node_settings::caller_endpoint},
    {"listen-ready", "127.0.0.1:7301", "ip:port for readiness checks", &node_settings::readiness_endpoint},
    {"listen-directory", "127.0.0.1:7302", "ip:port for directory queries",
     &node_settings::directory_endpoint},
    {"listen-operators", "127.0.0.1:7303", "ip:port for metrics and operators",
     &node_settings::operator_endpoint},
    {"store", "", "ip:port of the platform's store; required", &node_settings::store_endpoint},
}};

[[nodiscard]] po::options_description describe_options() {
  po::options_description known_options{
      "zinniad: the zinniafield daemon of an entry VM.\nEach option can also be set by an environment "
      "variable, such as ZINNIA_STORE for --store; a flag overrides it.\nIf the platform provides a settings "
      "file, only --tree, --log-level and --fate-records are accepted"};
  auto add = known_options.add_options();
  add("help", "print this text");
  add("version", "print the version");
  add("tree", po::value<std::string>()->default_value(""),
      "file with the settings tree to use until the store has one");
  add("log-level", po::value<std::string>()->default_value("info"), "debug, info, warn or error");
  add("node", po::value<std::string>()->default_value(""), "name of this entry VM; required");
  add("region", po::value<std::string>()->default_value(""), "region of this VM; required");
  add("domain", po::value<std::string>()->default_value(""), "failure domain of this VM; required");
  for (const auto& option : address_options) {
    add(option.name, po::value<std::string>()->default_value(option.default_text), option.help);
  }
  for (const auto& option : number_options) {
    std::ostringstream help;
    help << option.help << "; " << option.min_value << " to " << option.max_value;
    add(option.name, po::value<std::string>()->default_value(option.default_text), help.str().c_str());
  }
  return known_options;
}

[[nodiscard]] error not_allowed_error(const std::string& name, const std::string& value,
                                      const std::string& allowed) {
  return {reason::invalid_setting, name + ": '" + value + "' is not allowed; allowed: " + allowed, ""};
}

[[nodiscard]] bool is_valid_name(const std::string& text) {
  constexpr std::size_t max_name_length = 64;
  return !text.empty() && text.size() <= max_name_length &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '-' || letter == '_';
         });
}

[[nodiscard]] std::string read_name(const po::variables_map& values, const char* name) {
  auto text = values[name].as<std::string>();
  if (!is_valid_name(text)) {
    throw not_allowed_error(name, text, "1 to 64 letters, digits, '-' or '_'");
  }
  return text;
}

[[nodiscard]] ip_endpoint read_address(const po::variables_map& values, const char* name) {
  const auto text = values[name].as<std::string>();
  const auto parsed = parse_endpoint(text);
  if (!parsed) {
    throw not_allowed_error(name, text, "ip:port with a port of 0 to 65535");
  }
  return *parsed;
}

void read_number(const po::variables_map& values, const number_option& option, node_settings& settings) {
  const auto text = values[option.name].as<std::string>();
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool is_whole_number = parsed.ec == std::errc{} && parsed.ptr == end;
  if (!is_whole_number || value < option.min_value || value > option.max_value) {
    throw not_allowed_error(option.name, text,
                            std::to_string(option.min_value) + " to " + std::to_string(option.max_value));
  }
  option.assign(settings, value);
}

void read_common_options(const po::variables_map& values, node_settings& settings) {
  settings.tree_file = values["tree"].as<std::string>();
  settings.log_level = values["log-level"].as<std::string>();
  const std::array<std::string, 4> levels{"debug", "info", "warn", "error"};
  if (std::find(levels.begin(), levels.end(), settings.log_level) == levels.end()) {
    throw not_allowed_error("log-level", settings.log_level, "debug, info, warn, error");
  }
}

[[nodiscard]] node_settings read_all_options(const po::variables_map& values) {
  node_settings settings;
  read_common_options(values, settings);
  settings.node = node_id{read_name(values, "node")};
  settings.own_location = {failure_domain_id{read_name(values, "domain")},
                           region_id{read_name(values, "region")}};
  for (const auto& option : address_options) {
    settings.*(option.member) = read_address(values, option.name);
  }
  settings.ip = settings.caller_endpoint.ip;
  for (const auto& option : number_options) {
    read_number(values, option, settings);
  }
  return settings;
}

/// Adds the options that no settings file sets to the file's values. Throws if any other option is given.
[[nodiscard]] node_settings read_options_with_file(const po::variables_map& values,
                                                   const node_settings& file_settings) {
  node_settings settings = file_settings;
  read_common_options(values, settings);
  for (const auto& [name, value] : values) {
    const bool may_accompany_file = name == "tree" || name == "log-level" || name == "fate-records";
    if (!may_accompany_file && !value.defaulted() && name != "help" && name != "version") {
      throw not_allowed_error(name, value.as<std::string>(),
                              "no value here, because the settings file sets it");
    }
  }
  for (const auto& option : number_options) {
    if (!option.is_set_by_file) {
      read_number(values, option, settings);
    }
  }
  return settings;
}

/// Returns the option that an environment variable sets: "store" for ZINNIA_STORE, and an empty string for a
/// variable without the prefix. Throws if a variable with the prefix names no option.
[[nodiscard]] std::string option_for_variable(const po::options_description& known_options,
                                              const std::string& variable) {
  if (!variable.starts_with(environment_prefix)) {
    return {};
  }
  auto name = variable.substr(environment_prefix.size());
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
    return letter == '_' ? '-' : static_cast<char>(std::tolower(letter));
  });
  if (known_options.find_nothrow(name, false) == nullptr) {
    throw not_allowed_error(variable, "", "the name of an option, see --help");
  }
  return name;
}

}  // namespace
}  // namespace impl

result<parsed_options> parse_daemon_options(int argc, const char* const* argv,
                                            const std::optional<node_settings>& file_settings) {
  const auto known_options = impl::describe_options();
  try {
    impl::po::variables_map values;
    impl::po::store(impl::po::parse_command_line(argc, argv, known_options), values);
    impl::po::store(impl::po::parse_environment(known_options,
                                                [&known_options](const std::string& variable) {
                                                  return impl::option_for_variable(known_options, variable);
                                                }),
                    values);
    impl::po::notify(values);
    if (values.contains("help")) {
      std::ostringstream text;
      text << known_options;
      return parsed_options{std::nullopt, text.str()};
    }
    if (values.contains("version")) {
      return parsed_options{std::nullopt, impl::version_text};
    }
    return parsed_options{
        file_settings ? impl::read_options_with_file(values, *file_settings) : impl::read_all_options(values),
        {}};
  } catch (const error& cause) {
    return cause;
  } catch (const impl::po::error& cause) {
    return error{reason::invalid_setting, cause.what(), ""};
  }
}

}  // namespace zinnia
