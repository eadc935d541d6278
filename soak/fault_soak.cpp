// Soak test with random faults. Runs zinniad nodes as processes, injects faults into processes, connections,
// the store and backend servers, and checks the system's guarantees from what callers and backend servers
// observe.
//
// Usage: fault_soak --program build/zinniad --seed 7 --seconds 20
// The seed determines the schedule of faults; the timing of the machine still differs between runs. The exit
// status is 1 if a guarantee was violated.
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

#include "soak_run.hpp"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  constexpr int exit_usage_error = 2;
  zinnia::soak::soak_options parsed_options;
  po::options_description options{"fault_soak: runs zinniad nodes under random faults"};
  auto add = options.add_options();
  add("help", "print this text");
  add("program", po::value(&parsed_options.program)->default_value("build/zinniad"),
      "path of the zinniad program");
  add("seed", po::value(&parsed_options.seed)->default_value(1), "seed of the fault schedule");
  add("seconds", po::value(&parsed_options.seconds)->default_value(10),
      "seconds during which faults are injected; 1 to 3600");
  add("nodes", po::value(&parsed_options.nodes)->default_value(5), "node processes; 2 to 200");
  add("backends", po::value(&parsed_options.backends)->default_value(8), "backend servers; 2 to 200");
  add("restores", po::bool_switch(&parsed_options.restores_store),
      "the store comes back from copies, with edits and faults of nodes around it, instead of all other "
      "faults");
  add("stops", po::bool_switch(&parsed_options.only_stops),
      "nodes are stopped and told of changes, and the store fails, instead of all other faults: no request "
      "may be cut off");
  add("logs", po::value(&parsed_options.log_directory)->default_value("soak-logs"),
      "directory for the logs of the nodes");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "soak: " << error.what() << '\n' << options;
    return exit_usage_error;
  }
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  if (parsed_options.restores_store && parsed_options.only_stops) {
    std::cerr << "soak: --restores and --stops exclude each other\n" << options;
    return exit_usage_error;
  }
  constexpr int max_count = 200;
  constexpr int max_seconds = 3600;
  if (parsed_options.seconds < 1 || parsed_options.seconds > max_seconds || parsed_options.nodes < 2 ||
      parsed_options.nodes > max_count || parsed_options.backends < 2 ||
      parsed_options.backends > max_count) {
    std::cerr << "soak: an option is out of its range\n" << options;
    return exit_usage_error;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return zinnia::soak::soak_run{parsed_options}.run();
}
