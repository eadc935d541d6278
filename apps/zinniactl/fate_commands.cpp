// "What became of my booking?": fates from the entry or from the batches, and resolution of uncertain ones.
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "commands.hpp"
#include "zinnia/steering/node_machine.hpp"
#include "zinnia/store/http_call.hpp"
#include "zinnia/traffic/fate_log.hpp"
#include "zinnia/traffic/key_service.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr long http_ok = 200;

/// The state that `--expect` names: what the record says now.
[[nodiscard]] std::string state_of(const nlohmann::json& record) {
  if (record.at("finished_unix_ms") == 0) {
    return "in-flight";
  }
  return record.at("verdict") == "may-have-run" ? "uncertain" : record.at("verdict").get<std::string>();
}

void print_record(const nlohmann::json& record, const std::string& source) {
  std::cout << "request   " << record.at("id").get<std::string>() << "  (from " << source << ")\n"
            << "service   " << record.at("service").get<std::string>() << "  "
            << record.at("method").get<std::string>() << ' ' << record.at("path").get<std::string>() << '\n'
            << "key       " << record.at("key").get<std::string>() << '\n'
            << "state     " << state_of(record) << "  reason " << record.at("reason").get<std::string>()
            << "  status " << record.at("status") << '\n';
  const auto received = record.at("received_unix_ms").get<std::int64_t>();
  for (const auto& step : record.at("steps")) {
    std::cout << "  +" << step.at("at_unix_ms").get<std::int64_t>() - received << " ms  "
              << step.at("name").get<std::string>() << '\n';
  }
  for (const auto& attempt : record.at("attempts")) {
    std::cout << "  +" << attempt.at("started_unix_ms").get<std::int64_t>() - received << " ms  delivery to "
              << attempt.at("upstream").get<std::string>() << " by " << attempt.at("node").get<std::string>()
              << ": " << attempt.at("verdict").get<std::string>() << ", "
              << attempt.at("reason").get<std::string>() << ", " << attempt.at("took_ms") << " ms\n";
  }
}

}  // namespace
}  // namespace impl

std::string command_runner::caller_address_of(const std::string& node) {
  const auto listed = this->store->list(holdings_prefix);
  for (const auto& entry : listed.entries) {
    const auto table = decode_holdings_table(this->store->get(entry.key).value);
    if (table && table->nodes.contains(node_id{node})) {
      return table->nodes.at(node_id{node}).caller_address;
    }
  }
  return {};
}

std::optional<std::string> command_runner::find_record(const std::string& id, std::string& source,
                                                       std::string& missing) {
  const auto parsed = parse_request_id(request_id{id});
  if (!parsed) {
    missing = "'" + id + "' is no request id; allowed: NODE~TIME~NUMBER as in X-Request-Id";
    return std::nullopt;
  }
  const auto address = this->caller_address_of(parsed->entry.str());
  if (!address.empty()) {
    http_call call;
    call.url = "http://" + address + "/v1/fates/" + url_escape(id);
    const auto answer = perform(call);
    if (answer.status == impl::http_ok) {
      source = "entry " + parsed->entry.str();
      return answer.body;
    }
  }
  const auto listed = this->store->list("fates/" + parsed->entry.str() + '/');
  if (listed.status != store_status::ok) {
    missing = "the entry does not know it and the platform's store does not answer";
    return std::nullopt;
  }
  std::optional<std::string> found;
  std::int64_t covered_until = 0;
  for (const auto& entry : listed.entries) {
    const auto batch = decode_fate_batch(this->store->get(entry.key).value);
    if (!batch) {
      continue;
    }
    covered_until = std::max(covered_until, batch->to_unix_ms);
    for (const auto& record : batch->records) {
      if (record.id.str() == id) {
        found = to_json_text(record);
        source = "batch " + entry.key;
      }
    }
  }
  if (!found) {
    missing = covered_until < parsed->received_unix_ms
                  ? "not known: " + parsed->entry.str() + " wrote records up to " +
                        std::to_string(covered_until) + " (ms since 1970) and the request came in at " +
                        std::to_string(parsed->received_unix_ms) + "; the span between is missing, because " +
                        (address.empty() ? "the entry is gone" : "the entry does not answer or dropped it")
                  : "not known: no record of it in the batches that remain";
  }
  return found;
}

exit_code command_runner::print_fate(const std::string& text, const std::string& source) {
  auto record = nlohmann::json::parse(text);
  const auto key = record.at("key").get<std::string>();
  const service_id service{record.at("service").get<std::string>()};
  const auto resolution =
      this->store->get(resolution_key(service, key.empty() ? record.at("id").get<std::string>() : key));
  record["source"] = source;
  record["state"] = impl::state_of(record);
  if (resolution.ok()) {
    record["resolution"] = nlohmann::json::parse(resolution.value, nullptr, false);
  }
  if (this->options.as_json) {
    std::cout << record.dump() << '\n';
    return exit_code::ok;
  }
  impl::print_record(record, source);
  if (record["state"] == "in-flight" && !source.starts_with("entry")) {
    std::cout
        << "note      last written while in flight; the entry has not told of its end: it may have run\n";
  }
  if (resolution.ok()) {
    std::cout << "resolved  " << record["resolution"].dump() << '\n';
  }
  return exit_code::ok;
}

exit_code command_runner::fate() {
  if (this->options.words[1] == "resolve") {
    return this->resolve();
  }
  std::string source;
  std::string missing;
  const auto record = this->find_record(this->options.words[1], source, missing);
  if (!record) {
    this->complain(missing);
    return exit_code::not_found;
  }
  return this->print_fate(*record, source);
}

exit_code command_runner::resolve() {
  if (this->options.words.size() < 3) {
    this->complain("fate resolve: the request id is missing");
    return exit_code::bad_input;
  }
  const bool outcome_known = this->options.outcome == "ran" || this->options.outcome == "did-not-run";
  if (!outcome_known) {
    this->complain("--outcome: '" + this->options.outcome + "' is not allowed; allowed: ran, did-not-run");
    return exit_code::bad_input;
  }
  const auto blank = [](const std::string& text) {
    return text.find_first_not_of(" \t\n") == std::string::npos;
  };
  if (blank(this->options.reason_text) || blank(this->options.evidence) || blank(this->options.expect)) {
    this->complain("--expect, --reason and --evidence are required and must not be blank");
    return exit_code::bad_input;
  }
  std::string source;
  std::string missing;
  const auto text = this->find_record(this->options.words[2], source, missing);
  if (!text) {
    this->complain(missing);
    return exit_code::not_found;
  }
  const auto record = nlohmann::json::parse(*text);
  const auto state = impl::state_of(record);
  if (state != this->options.expect || state != "uncertain") {
    this->complain("state is '" + state + "', expected '" + this->options.expect +
                   "'; only an uncertain request can be resolved; nothing was written");
    return exit_code::state_mismatch;
  }
  const auto key = record.at("key").get<std::string>();
  const service_id service{record.at("service").get<std::string>()};
  const nlohmann::json resolution{{"request", this->options.words[2]},   {"outcome", this->options.outcome},
                                  {"reason", this->options.reason_text}, {"evidence", this->options.evidence},
                                  {"by", this->options.author},          {"at_unix_ms", unix_time_ms()}};
  const auto reply =
      put_resolved(*this->store, resolution_key(service, key.empty() ? this->options.words[2] : key),
                   resolution.dump(), object_version{});
  if (reply.status == store_status::conflict) {
    this->complain("already resolved: " + reply.value);
    return exit_code::conflict;
  }
  if (!reply.ok()) {
    this->complain("the platform's store does not answer; see 'zinniactl fate' whether it took effect");
    return reply.status == store_status::unknown ? exit_code::unknown : exit_code::failed;
  }
  std::cout << (this->options.as_json ? resolution.dump() : "resolved as " + this->options.outcome) << '\n';
  return exit_code::ok;
}

}  // namespace zinnia
