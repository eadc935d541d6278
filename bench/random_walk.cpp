// Runs the random walk over many seeds on all cores and prints each that breaks an invariant.
//
// Usage: random_walk --first 1 --count 10000 [--steps 900] [--stop-at-first]
#include <atomic>
#include <boost/program_options.hpp>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

#include "packages/steering/tests/walk.hpp"

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint64_t first = 0;
  std::uint64_t count = 0;
  std::int64_t steps = 0;
  bool stop_at_first = false;
  bool trace = false;
  po::options_description flags{"random_walk"};
  auto add = flags.add_options();
  add("first", po::value(&first)->default_value(1), "first seed");
  add("count", po::value(&count)->default_value(1000), "number of seeds");
  add("steps", po::value(&steps)->default_value(900), "steps of 10 ms");
  add("stop-at-first", po::bool_switch(&stop_at_first), "end at the first broken invariant");
  add("trace", po::bool_switch(&trace), "print every event; for one seed");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, flags), given);
  po::notify(given);
  std::atomic<std::uint64_t> next{first};
  std::atomic<std::uint64_t> broken{0};
  std::atomic<std::int64_t> dispatches{0};
  std::atomic<std::int64_t> key_runs{0};
  std::atomic<std::int64_t> shifted{0};
  std::atomic<std::int64_t> refusals{0};
  std::mutex output;
  const auto work = [&] {
    for (auto seed = next++; seed < first + count; seed = next++) {
      if (stop_at_first && broken > 0) {
        return;
      }
      zinnia::walks::walk_options options;
      options.seed = seed;
      options.steps = steps;
      options.trace = trace;
      const auto found = zinnia::walks::run_walk(options);
      dispatches += found.dispatches;
      key_runs += found.key_runs;
      shifted += found.shifted;
      refusals += found.did_not_run_refusals;
      if (!found.violation.empty()) {
        ++broken;
        const std::lock_guard lock{output};
        std::cout << "seed " << seed << " at " << found.at_ms << " ms: " << found.violation << std::endl;
      }
    }
  };
  std::vector<std::thread> workers;
  for (unsigned i = 0; i < std::max(1U, std::thread::hardware_concurrency()); ++i) {
    workers.emplace_back(work);
  }
  for (auto& worker : workers) {
    worker.join();
  }
  std::cout << "seeds " << next - first - workers.size() << "  broken " << broken << "  dispatches "
            << dispatches << "  key runs " << key_runs << "  shifted " << shifted << "  did-not-run refusals "
            << refusals << '\n';
  return broken == 0 ? 0 : 1;
}
