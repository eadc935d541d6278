// zinniactl: the command-line tool for operators and support engineers.
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "commands.hpp"

namespace {

constexpr const char* usage_text =
    "usage: zinniactl --store IP:PORT [options] COMMAND\n\n"
    "  plan --file F                      show what applying F would change\n"
    "  apply --file F [--expect-version N]  write F, if the settings are still at version N\n"
    "  show [--service S --region R --domain D]  show the values in force and their origins\n"
    "  drain upstream|entry|domain|region TARGET [--start now|MS] [--percent P]\n"
    "  move --service S --from R --to R [--percent P] [--start now|MS]\n"
    "  cancel-shift ID                    end a drain or move\n"
    "  status                             show the nodes and what each shift waits for\n"
    "  servers [--node N]                 show which backend servers are out of use or limited, and why\n"
    "  fate ID                            query all nodes for the fate of a request\n\n"
    "exit codes: 0 done, 1 store or nodes unreachable, 2 bad input, 3 conflicting edit, 4 not found,\n"
    "            6 outcome unknown\n\n";

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  zinnia::command_options command;
  std::string output;
  const char* const store_variable = std::getenv("ZINNIA_STORE");
  const char* const user_variable = std::getenv("USER");
  po::options_description options{"options"};
  auto add = options.add_options();
  add("help", "print this text");
  add("store", po::value(&command.store)->default_value(store_variable == nullptr ? "" : store_variable),
      "ip:port of the platform's store; default: ZINNIA_STORE");
  add("output", po::value(&output)->default_value("text"), "text or json");
  add("author",
      po::value(&command.author)->default_value(user_variable == nullptr ? "operator" : user_variable),
      "author recorded with an edit");
  add("file", po::value(&command.file), "file with the settings tree, in YAML");
  add("service", po::value(&command.service), "service");
  add("region", po::value(&command.region), "region");
  add("domain", po::value(&command.domain), "failure domain");
  add("from", po::value(&command.from_region), "region to move from");
  add("to", po::value(&command.to_region), "region to move to");
  add("node", po::value(&command.node), "the one node that is asked");
  add("start", po::value(&command.start)->default_value("now"), "now, or milliseconds since 1970");
  add("percent", po::value(&command.percent)->default_value(100), "1 to 100");
  add("expect-version", po::value(&command.expected_version), "version that the edit is based on");
  add("words", po::value(&command.arguments), "the command and its arguments");
  po::positional_options_description positions;
  positions.add("words", -1);
  po::variables_map parsed;
  try {
    po::store(po::command_line_parser(argc, argv).options(options).positional(positions).run(), parsed);
    po::notify(parsed);
  } catch (const po::error& cause) {
    std::cerr << "zinniactl: " << cause.what() << '\n';
    return static_cast<int>(zinnia::exit_code::bad_input);
  }
  if (parsed.contains("help")) {
    std::cout << usage_text << options;
    return 0;
  }
  if (command.arguments.empty() || command.store.empty()) {
    std::cerr << usage_text;
    return static_cast<int>(zinnia::exit_code::bad_input);
  }
  if (output != "text" && output != "json") {
    std::cerr << "zinniactl: --output: '" << output << "' is not allowed; allowed: text, json\n";
    return static_cast<int>(zinnia::exit_code::bad_input);
  }
  command.as_json = output == "json";
  return static_cast<int>(zinnia::command_runner{command}.run());
}
