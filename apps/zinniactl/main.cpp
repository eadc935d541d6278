// zinniactl: for operators and support engineers.
#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>

#include "commands.hpp"

namespace {

constexpr const char* usage_text =
    "usage: zinniactl --store IP:PORT [options] COMMAND\n\n"
    "  plan --file F                      what applying F would change\n"
    "  apply --file F [--expect-version N]  write F, if the settings are still at version N\n"
    "  show [--service S --region R --domain D]  values in force and where each comes from\n"
    "  drain upstream|entry|domain|region TARGET [--start now|MS] [--percent P]\n"
    "  move --service S --from R --to R [--percent P] [--start now|MS]\n"
    "  cancel-shift ID                    end a drain or move\n"
    "  status                             nodes, and what each shift waits for\n"
    "  fate ID                            what became of a request, asked of all nodes\n\n"
    "exit codes: 0 done, 1 store unreachable, 2 bad input, 3 conflicting edit, 4 not found,\n"
    "            6 outcome unknown\n\n";

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  zinnia::command_options given;
  std::string output;
  const char* const store_variable = std::getenv("ZINNIA_STORE");
  const char* const user_variable = std::getenv("USER");
  po::options_description options{"options"};
  auto add = options.add_options();
  add("help", "print this text");
  add("store", po::value(&given.store)->default_value(store_variable == nullptr ? "" : store_variable),
      "platform's store, ip:port; or ZINNIA_STORE");
  add("output", po::value(&output)->default_value("text"), "text or json");
  add("author",
      po::value(&given.author)->default_value(user_variable == nullptr ? "operator" : user_variable),
      "who edits");
  add("file", po::value(&given.file), "settings tree in YAML");
  add("service", po::value(&given.service), "service");
  add("region", po::value(&given.region), "region");
  add("domain", po::value(&given.domain), "failure domain");
  add("from", po::value(&given.from), "region to move from");
  add("to", po::value(&given.to), "region to move to");
  add("start", po::value(&given.start)->default_value("now"), "now, or ms since 1970");
  add("percent", po::value(&given.percent)->default_value(100), "1 to 100");
  add("expect-version", po::value(&given.expect_version), "version that the edit is based on");
  add("words", po::value(&given.words), "command and arguments");
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
  if (given.words.empty() || given.store.empty() || (output != "text" && output != "json")) {
    std::cerr << usage_text;
    return static_cast<int>(zinnia::exit_code::bad_input);
  }
  given.as_json = output == "json";
  return static_cast<int>(zinnia::command_runner{given}.run());
}
