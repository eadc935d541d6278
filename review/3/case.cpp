// An entry gets SIGTERM while requests wait in it for room at the servers. At the end of the grace time it
// exits and closes their connections: they were read and never passed on, and get neither an answer nor a
// refusal.
#include <algorithm>
#include <csignal>
#include <iostream>
#include <mutex>
#include <thread>

#include "../standins/backend_server.hpp"
#include "../standins/caller.hpp"

namespace {

using review::record;
using review::run_ledger;
using std::chrono::milliseconds;

/// firmalia-mx-grown: work and deadline of archive-pull, and the operator's limit at the same value.
constexpr int work_ms = 1000;
constexpr int deadline_ms = 6000;
constexpr int route_timeout_ms = 6000;
constexpr int server_count = 2;
constexpr int slots = 3;
constexpr int client_count = 48;
constexpr milliseconds client_interval{30};
constexpr milliseconds time_before_stop{12'000};
/// From SIGTERM to SIGKILL.
constexpr milliseconds grace{6000};
/// The rule looks at requests up to this long after the grace time.
constexpr milliseconds time_after_grace{1000};
constexpr double loss_slack_ms = 200;
constexpr int read_limit_ms = 15'000;

const std::string firmalia_bounds =
    "seedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 4000\nackMs = 6000\ncatchUpS = 6\ndrainMs = 4000\n"
    "graceS = 6\nlossSlackMs = 200\nconfigApplyMs = 4000\nrollbackSlackMs = 250\nmaxSkewMs = 6000\n"
    "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 218\ncoldOverage = 1.5\ncoldSlack = 8\n"
    "evacuationMs = 5000\nrecoveryS = 15\nttl_max_s = 5\nmaxShift = 0.15\n";

struct sent_request {
  std::string id;
  std::string entry;
  double sent_ms{0};
  double ended_ms{0};
  /// 0 if the connection ended before a complete answer.
  int status{0};
};

/// All requests of all clients, and when the clients stop.
struct traffic {
  record& log;
  std::mutex mutex;
  std::vector<sent_request> requests;
  review::steady::time_point until;
};

/// Sends one request after the other to an entry, as its directory answer says, until that takes no
/// connection; then to the other entry.
void send_requests(traffic& shared, const std::vector<std::string>& ips, int client) {
  auto at = static_cast<std::size_t>(client) % ips.size();
  review::caller_connection connection{ips[at]};
  for (int i = 0; review::steady::now() < shared.until; ++i) {
    if (!connection.open(read_limit_ms)) {
      at = (at + 1) % ips.size();
      connection = review::caller_connection{ips[at]};
      std::this_thread::sleep_for(milliseconds{20});
      continue;
    }
    sent_request request{"c" + std::to_string(client) + "-" + std::to_string(i), ips[at]};
    request.sent_ms = review::now_ms();
    const auto is_sent = connection.send(
        review::format_request("GET", "/pull/" + std::to_string(client), request.id, deadline_ms));
    const auto answer = is_sent ? connection.read() : std::nullopt;
    request.ended_ms = review::now_ms();
    request.status = answer ? answer->status : 0;
    shared.log.line("ended   " + request.id + " at " + request.entry + ", sent at " +
                    std::to_string(static_cast<int>(request.sent_ms)) +
                    " ms: " + (answer ? std::to_string(request.status) : std::string{"connection closed"}));
    {
      const std::lock_guard lock{shared.mutex};
      shared.requests.push_back(request);
    }
    if (!answer || answer->field("connection") == "close") {
      connection.close();
    }
    constexpr int first_failure = 300;
    if (answer && request.status >= first_failure) {
      const auto wait = answer->field("retry-after");
      constexpr double ms_per_second = 1000;
      const double wait_ms = wait.empty() ? 0 : std::stod(wait) * ms_per_second;
      std::this_thread::sleep_for(milliseconds{static_cast<int>(wait_ms) + 20});
    }
  }
}

[[noreturn]] void run(const std::string& record_file) {
  const bool is_trouble = review::is_trouble_wanted();
  record log{record_file};
  run_ledger ledger;
  review::platform_store store;
  const review::temporary_folder folder;
  store.put("config", "main",
            review::make_configuration({{"/pull/", "download", "acervo", route_timeout_ms}}, {"acervo"}));
  std::vector<std::unique_ptr<review::backend_server>> servers;
  for (int i = 0; i < server_count; ++i) {
    review::backend_options options;
    options.id = "i-acervo" + std::to_string(i);
    options.service = "acervo";
    options.zone = "cen-a";
    options.slots = slots;
    options.work_ms = work_ms;
    servers.push_back(std::make_unique<review::backend_server>(options, ledger, log));
    servers.back()->register_at(store);
  }
  const review::site_settings site{{{"cen-a", "mx-centro"}}, firmalia_bounds};
  const auto ips = review::free_loopback_addresses(2);
  std::vector<std::unique_ptr<review::entry_process>> entries;
  for (std::size_t i = 0; i < ips.size(); ++i) {
    entries.push_back(std::make_unique<review::entry_process>(
        review::entry_place{"front-cen-a-" + std::to_string(i + 1), "cen-a", "mx-centro", ips[i]}, site,
        store, folder));
  }
  if (!review::wait_until_ready(entries)) {
    review::end_case(review::exit_not_run, entries, folder);
  }
  const auto run_time = client_count * client_interval + time_before_stop + grace + time_after_grace;
  traffic shared{log, {}, {}, review::steady::now() + run_time};
  std::vector<std::thread> clients;
  for (int i = 0; i < client_count; ++i) {
    clients.emplace_back([&, i] { send_requests(shared, ips, i); });
    std::this_thread::sleep_for(client_interval);
  }
  std::this_thread::sleep_for(time_before_stop);
  const double stopped_ms = review::now_ms();
  if (is_trouble) {
    log.line("SIGTERM to " + ips[0]);
    entries[0]->signal(SIGTERM);
    const bool has_ended = entries[0]->wait_for_end(grace);
    log.line(has_ended ? ips[0] + " has ended" : "SIGKILL to " + ips[0]);
    entries[0]->signal(SIGKILL);
  }
  for (auto& client : clients) {
    client.join();
  }
  const auto runs = ledger.all();
  int read_count = 0;
  int lost = 0;
  for (const auto& each : shared.requests) {
    const bool is_judged =
        each.entry == ips[0] && each.ended_ms > stopped_ms &&
        each.ended_ms < stopped_ms + static_cast<double>((grace + time_after_grace).count());
    if (!is_judged) {
      continue;
    }
    ++read_count;
    // Neither the deadline nor the route's timeout is near, and no server had the request.
    const bool is_in_time = each.ended_ms - each.sent_ms < std::min(deadline_ms, route_timeout_ms);
    const bool is_late_end = each.ended_ms - each.sent_ms > loss_slack_ms;
    if (each.status == 0 && !runs.contains(each.id) && is_in_time && is_late_end) {
      ++lost;
      log.line("LOST    " + each.id + ": sent " +
               std::to_string(static_cast<int>(each.sent_ms - stopped_ms)) +
               " ms after SIGTERM, connection closed " +
               std::to_string(static_cast<int>(each.ended_ms - each.sent_ms)) +
               " ms later without an answer, never passed on");
    }
  }
  const auto summary = std::to_string(read_count) + " requests ended at the entry in the grace time, " +
                       std::to_string(lost) + " were cut without having been passed on (allowed: 0): LOST " +
                       (lost > 0 ? "broken" : "held");
  log.line(summary);
  std::cout << summary << '\n';
  review::end_case(lost > 0 ? review::exit_broken : review::exit_held, entries, folder);
}

}  // namespace

int main(int argc, char** argv) {
  review::limit_run_time();
  if (argc != 2) {
    return review::exit_not_run;
  }
  run(argv[1]);
}
