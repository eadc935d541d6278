// Simulates a scenario under every placement policy and prints a table of the results.
//
// Usage: experiment --scenario bench/scenarios/kapur-jaya.yaml --seeds 5 --plot credit.svg
#include <algorithm>
#include <boost/program_options.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

#include "simulation.hpp"

namespace {

using namespace zinnia;
using namespace zinnia::bench;

constexpr int exit_bad_input = 2;

struct row {
  policy selected_policy;
  std::vector<simulation_result> runs;

  template <class Value>
  [[nodiscard]] double mean(Value value) const {
    double sum = 0;
    for (const auto& run : this->runs) {
      sum += value(run);
    }
    return sum / static_cast<double>(this->runs.size());
  }
};

/// Returns the lowest ratio of earned to maximum credit.
[[nodiscard]] double worst_fraction(const std::map<std::string, std::pair<double, double>>& credits) {
  double lowest = 1;
  for (const auto& [name, credit] : credits) {
    lowest = std::min(lowest, credit.second > 0 ? credit.first / credit.second : 1);
  }
  return lowest;
}

void print_table(const scenario& input, const std::vector<row>& rows, std::uint64_t seeds) {
  std::cout << input.name << ", " << input.length_s << " s, means of " << seeds << " seeds\n\n"
            << "| policy | credit | worst kind | worst domain | in aim | late | refused | failed | p50 ms | "
               "p99 ms | warm | "
               "largest shift | free slots |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& row : rows) {
    const auto fraction = [&](int simulation_result::*member) {
      return row.mean([member](const simulation_result& run) {
        return static_cast<double>(run.*member) / std::max(run.requests, 1);
      });
    };
    std::cout << std::fixed << std::setprecision(3) << "| " << to_string(row.selected_policy) << " | "
              << row.mean([](const simulation_result& run) { return run.credit_fraction(); }) << " | "
              << row.mean([](const simulation_result& run) { return worst_fraction(run.credit_by_class); })
              << " | "
              << row.mean([](const simulation_result& run) { return worst_fraction(run.credit_by_domain); })
              << " | " << fraction(&simulation_result::in_aim) << " | " << fraction(&simulation_result::late)
              << " | " << fraction(&simulation_result::refused) << " | "
              << fraction(&simulation_result::failed) << " | " << std::setprecision(0)
              << row.mean([](const simulation_result& run) { return run.percentile(0.5); }) << " | "
              << row.mean([](const simulation_result& run) { return run.percentile(0.99); }) << " | "
              << std::setprecision(3) << row.mean([](const simulation_result& run) {
                   return run.runs > 0 ? static_cast<double>(run.warm_runs) / run.runs : 1;
                 })
              << " | " << row.mean([](const simulation_result& run) { return run.largest_shift; }) << " | "
              << row.mean([](const simulation_result& run) { return run.free_slot_fraction; }) << " |\n";
  }
}

/// Writes a data file and a gnuplot script that draws `file`.
void plot(const std::string& file, const scenario& input, const std::vector<row>& rows) {
  std::ofstream data{file + ".dat"};
  for (const auto& row : rows) {
    data << '"' << to_string(row.selected_policy) << '"';
    for (const double value :
         {row.mean([](const simulation_result& run) { return run.credit_fraction(); }),
          row.mean([](const simulation_result& run) { return worst_fraction(run.credit_by_domain); }),
          row.mean([](const simulation_result& run) { return worst_fraction(run.credit_by_class); }),
          row.mean([](const simulation_result& run) { return run.percentile(0.5); }),
          row.mean([](const simulation_result& run) { return run.percentile(0.9); }),
          row.mean([](const simulation_result& run) { return run.percentile(0.99); })}) {
      data << ' ' << value;
    }
    data << '\n';
  }
  std::ofstream script{file + ".gnuplot"};
  script << "set terminal svg size 1000,400\nset output '" << file << "'\nset multiplot layout 1,2 title '"
         << input.name << "'\nset style data histograms\nset style fill solid 0.6\nset xtics rotate by -30\n"
         << "set yrange [0:1]\nset ylabel 'fraction of the maximum credit'\nplot '" << file
         << ".dat' using 2:xtic(1) title 'all callers', '' using 3 title 'worst failure domain', '' using 4 "
            "title "
            "'worst kind'\n"
         << "set yrange [10:*]\nset logscale y\nset ylabel 'latency, ms'\nplot '" << file
         << ".dat' using 5:xtic(1) title 'p50', '' using 6 title 'p90', '' using 7 title 'p99'\nunset "
            "multiplot\n";
  std::cerr << "draw with: gnuplot " << file << ".gnuplot\n";
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string scenario_file;
  std::string plot_file;
  std::uint64_t seeds = 3;
  std::string only_policy;
  po::options_description options{"experiment: simulates a scenario under every placement policy"};
  auto add = options.add_options();
  add("help", "print this help text");
  add("scenario", po::value(&scenario_file)->required(), "scenario file in YAML; see bench/scenarios/");
  add("seeds", po::value(&seeds)->default_value(3), "the number of runs per policy, with seeds 1 to N");
  add("policy", po::value(&only_policy),
      "simulate only this policy: random, least load, two choices, one home, ours, pooled bound");
  add("plot", po::value(&plot_file), "SVG file that the written gnuplot script draws");
  po::variables_map arguments;
  try {
    po::store(po::parse_command_line(argc, argv, options), arguments);
    if (arguments.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(arguments);
  } catch (const po::error& problem) {
    std::cerr << "experiment: " << problem.what() << '\n' << options;
    return exit_bad_input;
  }
  auto parsed = read_scenario(scenario_file);
  if (!parsed) {
    std::cerr << "experiment: " << parsed.last_error().describe() << '\n';
    return exit_bad_input;
  }
  if (seeds < 1) {
    std::cerr << "experiment: seeds: 0 is not allowed; allowed: 1 or more\n";
    return exit_bad_input;
  }
  std::vector<row> rows;
  for (const auto selected_policy : {policy::random, policy::least_load, policy::two_choices,
                                     policy::one_home, policy::zinniafield, policy::pooled_bound}) {
    if (!only_policy.empty() && only_policy != to_string(selected_policy)) {
      continue;
    }
    auto input = *parsed;
    if (selected_policy == policy::one_home) {
      input.tree = input.one_home_tree;
    }
    row new_row{selected_policy, {}};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      new_row.runs.push_back(simulate(input, selected_policy, seed));
    }
    rows.push_back(std::move(new_row));
  }
  print_table(*parsed, rows, seeds);
  if (!plot_file.empty()) {
    plot(plot_file, *parsed, rows);
  }
  return 0;
}
