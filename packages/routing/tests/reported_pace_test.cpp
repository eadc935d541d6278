// The pace that a server reports, and servers whose figures are not to be believed.
#include "zinnia/routing/reported_pace.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>

#include "zinnia/routing/backend_state.hpp"

using namespace zinnia;

namespace {

const time_point start{100'000};

[[nodiscard]] double factor_at(const reported_pace& pace, std::int64_t after_ms) {
  return pace.factor(start + duration{after_ms}).value_or(-1);
}

/// Guards against a figure that stays in force after the machine's speed has changed.
TEST(reported_pace, a_figure_holds_when_fresh_and_decays_to_the_mean_of_the_servers_own) {
  reported_pace pace;
  EXPECT_FALSE(pace.factor(start));
  for (int i = 0; i < 40; ++i) {
    pace.on_report(i % 2 == 0 ? 100 : 140, start - duration{100});
  }
  pace.on_report(400, start);
  EXPECT_DOUBLE_EQ(factor_at(pace, 0), 4);
  const double mean = factor_at(pace, 60'000);
  EXPECT_NEAR(mean, 1.3, 0.1);
  EXPECT_NEAR(factor_at(pace, 600), mean, 0.2);
  EXPECT_GT(factor_at(pace, 50), 3);
  const auto over_work = pace.factor(start, duration{1000});
  ASSERT_TRUE(over_work);
  EXPECT_NEAR(*over_work, mean + (4 - mean) * 0.2, 0.05) << "work of a second outlasts the figure";
  EXPECT_EQ(pace.age(start + duration{70}), duration{70});
}

/// A server that claims to be very fast must not attract all requests.
TEST(reported_pace, figures_below_50_count_as_50) {
  reported_pace pace;
  pace.on_report(1, start);
  EXPECT_DOUBLE_EQ(factor_at(pace, 0), 0.5);
}

TEST(reported_pace, a_server_that_stops_sending_figures_is_one_without) {
  reported_pace pace;
  pace.on_report(200, start);
  pace.on_report({}, start);
  EXPECT_TRUE(pace.factor(start)) << "one invalid figure";
  pace.on_report({}, start);
  pace.on_report({}, start);
  EXPECT_FALSE(pace.factor(start));
  pace.on_report(200, start);
  EXPECT_TRUE(pace.factor(start));
}

/// Plays answers of a server whose machine has speeds of 0.6 to 2.4 and whose work varies, with 3% of it
/// seven times as long. Returns whether its figures are used at the end.
[[nodiscard]] bool is_believed(std::uint64_t seed,
                               const std::function<double(double, std::mt19937_64&)>& figure,
                               int answers = 200) {
  std::mt19937_64 random{seed};
  std::uniform_real_distribution<double> speed{0.6, 2.4};
  std::lognormal_distribution<double> work{-0.125, 0.5};
  std::bernoulli_distribution is_long{0.03};
  constexpr double mean_work = 1.18;
  reported_pace pace;
  auto now = start;
  for (int i = 0; i < answers; ++i) {
    now = now + duration{1000};
    const double true_pace = speed(random);
    pace.on_report(figure(true_pace, random), now);
    const double took = work(random) * (is_long(random) ? 7 : 1) * true_pace / mean_work;
    pace.on_answer(took, duration{50}, now);
  }
  return pace.factor(now).has_value();
}

/// Guards against wrong figures that steer requests, and against tails that discredit true ones.
TEST(reported_pace, figures_are_believed_as_far_as_answers_match_them) {
  const auto true_figure = [](double pace, std::mt19937_64&) { return pace * 100; };
  const auto random_figure = [](double, std::mt19937_64& random) {
    return std::exp(std::uniform_real_distribution<double>{std::log(50), std::log(1000)}(random));
  };
  const auto inverse_figure = [](double pace, std::mt19937_64&) { return 100 / pace / pace; };
  const auto constant_figure = [](double, std::mt19937_64&) { return 600.0; };
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    EXPECT_TRUE(is_believed(seed, true_figure)) << seed;
    EXPECT_FALSE(is_believed(seed, random_figure)) << seed;
    EXPECT_FALSE(is_believed(seed, inverse_figure)) << seed;
    EXPECT_FALSE(is_believed(seed, constant_figure)) << seed;
    EXPECT_TRUE(is_believed(seed, constant_figure, 19)) << "too few answers to tell, seed " << seed;
  }
}

TEST(reported_pace, a_server_whose_figures_become_true_is_believed_again) {
  reported_pace pace;
  for (int i = 0; i < 30; ++i) {
    pace.on_report(500, start);
    pace.on_answer(1, duration{50}, start);
  }
  EXPECT_FALSE(pace.factor(start));
  EXPECT_FALSE(pace.is_trusted());
  for (int i = 0; i < 200; ++i) {
    pace.on_report(100, start);
    pace.on_answer(1, duration{50}, start);
  }
  EXPECT_TRUE(pace.factor(start));
}

/// The page asks that a new incarnation starts with nothing learned, and that a server without the figure is
/// judged by its answers as before.
TEST(reported_pace, slowness_is_reported_if_possible_and_forgotten_on_restart) {
  backend_declaration declared;
  declared.id = backend_id{"a"};
  declared.started_unix_ms = 1;
  backend_state backend{declared};
  backend.on_sent(start);
  backend.on_ended(backend_outcome::responded, duration{300}, duration{100}, start);
  EXPECT_DOUBLE_EQ(backend.slowness(start), 1.4);
  backend.on_report({1, 0, 4, 250.0}, start);
  EXPECT_DOUBLE_EQ(backend.slowness(start), 2.5);
  declared.started_unix_ms = 2;
  backend.update_declaration(declared);
  EXPECT_DOUBLE_EQ(backend.slowness(start), 1);
  EXPECT_FALSE(backend.pace().age(start));
}

}  // namespace
