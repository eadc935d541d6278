// Reads and checks the arguments of a stand-in.
#include "standins/command_line.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <iostream>

#include "zinnia/core/endpoint.hpp"

namespace zinnia::standins {
namespace impl {
namespace {

namespace po = boost::program_options;

constexpr int exit_bad_input = 2;

[[nodiscard]] std::string not_allowed(const char* name, const std::string& value,
                                      const std::string& allowed) {
  return std::string{name} + ": '" + value + "' is not allowed; allowed: " + allowed;
}

[[nodiscard]] std::string range_of(const number_option& option) {
  return std::to_string(option.min_value) + " to " + std::to_string(option.max_value);
}

[[nodiscard]] po::options_description describe(const command_line& line) {
  po::options_description known{line.program};
  auto add = known.add_options();
  add("help", "print this text");
  for (const auto& option : line.texts) {
    add(option.name, po::value<std::string>()->default_value(option.value), option.help);
  }
  for (const auto& option : line.numbers) {
    const auto help = std::string{option.help} + "; " + range_of(option);
    add(option.name, po::value<std::string>()->default_value(std::to_string(option.value)), help.c_str());
  }
  return known;
}

/// Returns an error text, or an empty one if the value was taken.
[[nodiscard]] std::string take(const number_option& option, const std::string& text) {
  int value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool is_whole_number = parsed.ec == std::errc{} && parsed.ptr == end;
  if (!is_whole_number || value < option.min_value || value > option.max_value) {
    return not_allowed(option.name, text, range_of(option));
  }
  option.value = value;
  return {};
}

[[nodiscard]] std::string take(const text_option& option, const std::string& text) {
  if (!option.is_allowed(text)) {
    return not_allowed(option.name, text, option.allowed);
  }
  option.value = text;
  return {};
}

template <class Option>
[[nodiscard]] std::string take_all(const std::vector<Option>& options, const po::variables_map& values) {
  for (const auto& option : options) {
    if (auto problem = take(option, values[option.name].template as<std::string>()); !problem.empty()) {
      return problem;
    }
  }
  return {};
}

}  // namespace
}  // namespace impl

std::optional<int> command_line::parse(int argc, const char* const* argv) const {
  const auto known = impl::describe(*this);
  std::string problem;
  try {
    impl::po::variables_map values;
    impl::po::store(impl::po::command_line_parser(argc, argv)
                        .options(known)
                        .positional(impl::po::positional_options_description{})
                        .run(),
                    values);
    if (values.contains("help")) {
      std::cout << known;
      return 0;
    }
    problem = impl::take_all(this->texts, values);
    if (problem.empty()) {
      problem = impl::take_all(this->numbers, values);
    }
  } catch (const impl::po::error& cause) {
    problem = cause.what();
  }
  if (problem.empty()) {
    return std::nullopt;
  }
  std::cerr << this->program << ": " << problem << '\n';
  return impl::exit_bad_input;
}

bool is_name(const std::string& text) {
  constexpr std::size_t max_name_length = 64;
  return !text.empty() && text.size() <= max_name_length &&
         std::all_of(text.begin(), text.end(), [](unsigned char letter) {
           return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
         });
}

bool is_path(const std::string& text) {
  return text.starts_with('/') && std::all_of(text.begin(), text.end(),
                                              [](unsigned char letter) { return std::isgraph(letter) != 0; });
}

bool is_address(const std::string& text) {
  return static_cast<bool>(parse_endpoint(text));
}

bool is_address_or_empty(const std::string& text) {
  return text.empty() || is_address(text);
}

}  // namespace zinnia::standins
