// Plays a scenario under every policy and prints what callers got.
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
  policy which;
  std::vector<outcome> runs;

  template <class Value>
  [[nodiscard]] double mean(Value value) const {
    double sum = 0;
    for (const auto& run : this->runs) {
      sum += value(run);
    }
    return sum / static_cast<double>(this->runs.size());
  }
};

[[nodiscard]] double least(const std::map<std::string, std::pair<double, double>>& parts) {
  double lowest = 1;
  for (const auto& [name, part] : parts) {
    lowest = std::min(lowest, part.second > 0 ? part.first / part.second : 1);
  }
  return lowest;
}

void print_table(const scenario& what, const std::vector<row>& rows, std::uint64_t seeds) {
  std::cout << what.name << ", " << what.length_s << " s, means of " << seeds << " seeds\n\n"
            << "| policy | credit | worst kind | worst domain | in aim | late | refused | failed | p50 ms | "
               "p99 ms | warm | "
               "largest shift | free slots |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& row : rows) {
    const auto part = [&](int outcome::*member) {
      return row.mean(
          [member](const outcome& run) { return static_cast<double>(run.*member) / std::max(run.asked, 1); });
    };
    std::cout << std::fixed << std::setprecision(3) << "| " << to_word(row.which) << " | "
              << row.mean([](const outcome& run) { return run.share(); }) << " | "
              << row.mean([](const outcome& run) { return least(run.by_class); }) << " | "
              << row.mean([](const outcome& run) { return least(run.by_domain); }) << " | "
              << part(&outcome::in_aim) << " | " << part(&outcome::late) << " | " << part(&outcome::refused)
              << " | " << part(&outcome::failed) << " | " << std::setprecision(0)
              << row.mean([](const outcome& run) { return run.percentile(0.5); }) << " | "
              << row.mean([](const outcome& run) { return run.percentile(0.99); }) << " | "
              << std::setprecision(3) << row.mean([](const outcome& run) {
                   return run.runs > 0 ? static_cast<double>(run.warm_runs) / run.runs : 1;
                 })
              << " | " << row.mean([](const outcome& run) { return run.largest_shift; }) << " | "
              << row.mean([](const outcome& run) { return run.headroom; }) << " |\n";
  }
}

/// Writes data and a script for gnuplot beside the picture.
void plot(const std::string& file, const scenario& what, const std::vector<row>& rows) {
  std::ofstream data{file + ".dat"};
  for (const auto& row : rows) {
    data << '"' << to_word(row.which) << '"';
    for (const double value : {row.mean([](const outcome& run) { return run.share(); }),
                               row.mean([](const outcome& run) { return least(run.by_domain); }),
                               row.mean([](const outcome& run) { return least(run.by_class); }),
                               row.mean([](const outcome& run) { return run.percentile(0.5); }),
                               row.mean([](const outcome& run) { return run.percentile(0.9); }),
                               row.mean([](const outcome& run) { return run.percentile(0.99); })}) {
      data << ' ' << value;
    }
    data << '\n';
  }
  std::ofstream script{file + ".gnuplot"};
  script << "set terminal svg size 1000,400\nset output '" << file << "'\nset multiplot layout 1,2 title '"
         << what.name << "'\nset style data histograms\nset style fill solid 0.6\nset xtics rotate by -30\n"
         << "set yrange [0:1]\nset ylabel 'part of the credit owed'\nplot '" << file
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
  std::string file;
  std::string picture;
  std::uint64_t seeds = 3;
  std::string only;
  po::options_description options{"experiment: plays a scenario under every policy"};
  auto add = options.add_options();
  add("help", "prints this text");
  add("scenario", po::value(&file)->required(), "scenario in YAML, as in bench/scenarios/");
  add("seeds", po::value(&seeds)->default_value(3), "runs with seeds 1 to N");
  add("policy", po::value(&only),
      "only this one: random, least load, two choices, one home, ours, pooled bound");
  add("plot", po::value(&picture), "SVG to draw with gnuplot");
  po::variables_map given;
  try {
    po::store(po::parse_command_line(argc, argv, options), given);
    if (given.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(given);
  } catch (const po::error& problem) {
    std::cerr << "experiment: " << problem.what() << '\n' << options;
    return exit_bad_input;
  }
  auto read = read_scenario(file);
  if (!read) {
    std::cerr << "experiment: " << read.last_error().describe() << '\n';
    return exit_bad_input;
  }
  if (seeds < 1) {
    std::cerr << "experiment: seeds: 0 is not allowed; allowed: 1 or more\n";
    return exit_bad_input;
  }
  std::vector<row> rows;
  for (const auto which : {policy::random, policy::least_load, policy::two_choices, policy::one_home,
                           policy::ours, policy::pooled}) {
    if (!only.empty() && only != to_word(which)) {
      continue;
    }
    auto played = *read;
    if (which == policy::one_home) {
      played.tree = played.one_home_tree;
    }
    row made{which, {}};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      made.runs.push_back(play(played, which, seed));
    }
    rows.push_back(std::move(made));
  }
  print_table(*read, rows, seeds);
  if (!picture.empty()) {
    plot(picture, *read, rows);
  }
  return 0;
}
